#pragma once

#include <LibOperator/OperatorTypes.h>

#include <string>
#include <string_view>

namespace Operator {

/// JSON text of a request body, a response or an error.
template <typename T> std::string encode(T const&);

/// Reads JSON text. Missing, mistyped and unknown values are `BadRequest`, naming the field.
template <typename T> Core::Result<T, BadRequest> decode(std::string_view json);

// Defined for the types below, in OperatorCodec.cpp.
#define PRIMROSESHIFT_OPERATOR_MESSAGES(X)                                                                             \
    X(StatusResponse)                                                                                                  \
    X(PoolsResponse)                                                                                                   \
    X(RoutesResponse)                                                                                                  \
    X(BackendsResponse)                                                                                                \
    X(DomainsResponse)                                                                                                 \
    X(OwnersResponse)                                                                                                  \
    X(UsageResponse)                                                                                                   \
    X(HistoryResponse)                                                                                                 \
    X(TablesResponse)                                                                                                  \
    X(DiffResponse)                                                                                                    \
    X(EditRequest)                                                                                                     \
    X(EditResponse)                                                                                                    \
    X(DrainRequest)                                                                                                    \
    X(ReturnRequest)                                                                                                   \
    X(ServiceResponse)                                                                                                 \
    X(QuarantineResponse)                                                                                              \
    X(LiftQuarantineRequest)                                                                                           \
    X(LiftQuarantineResponse)                                                                                          \
    X(WaitResponse)                                                                                                    \
    X(OperatorError)

#define PRIMROSESHIFT_DECLARE_CODEC(type)                                                                              \
    template <> std::string encode<type>(type const&);                                                                 \
    template <> Core::Result<type, BadRequest> decode<type>(std::string_view);
PRIMROSESHIFT_OPERATOR_MESSAGES(PRIMROSESHIFT_DECLARE_CODEC)
#undef PRIMROSESHIFT_DECLARE_CODEC

} // namespace Operator
