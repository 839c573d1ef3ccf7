#pragma once

#include <LibOperator/OperatorTypes.h>

#include <string>
#include <string_view>

namespace Operator {

/// JSON text of a request body, a response or an error.
template <typename T> std::string encode(T const&);

/// Reads JSON text. Missing, mistyped and unknown values are `BadRequest`, naming the field.
template <typename T> Core::Result<T, BadRequest> decode(std::string_view json);

// Defined for the types below, in OperatorCodec.cpp. The plain ones are structs whose fields are listed in
// OperatorFields.h.
// clang-format off
#define PRIMROSESHIFT_OPERATOR_PLAIN_MESSAGES(X) \
    X(StatusResponse) X(PoolsResponse) X(RoutesResponse) X(BackendsResponse) \
    X(DomainsResponse) X(OwnersResponse) X(UsageResponse) X(HistoryResponse) \
    X(TablesResponse) X(DiffResponse) X(EditRequest) X(EditResponse) \
    X(ServiceResponse) X(QuarantineResponse) X(LiftQuarantineRequest) X(LiftQuarantineResponse) \
    X(WaitResponse)
// clang-format on

#define PRIMROSESHIFT_DECLARE_CODEC(type)                                                                              \
    template <> std::string encode<type>(type const&);                                                                 \
    template <> Core::Result<type, BadRequest> decode<type>(std::string_view);
PRIMROSESHIFT_OPERATOR_PLAIN_MESSAGES(PRIMROSESHIFT_DECLARE_CODEC)
PRIMROSESHIFT_DECLARE_CODEC(DrainRequest)
PRIMROSESHIFT_DECLARE_CODEC(ReturnRequest)
#undef PRIMROSESHIFT_DECLARE_CODEC

/// Empty for text that is not an error of this API. Not a `Core::Result`, since `BadRequest` is also an
/// `OperatorError`.
std::optional<OperatorError> decodeError(std::string_view json);
std::string encodeError(OperatorError const&);

} // namespace Operator
