#pragma once

#include <LibOperator/OperatorTypes.h>

#include <map>
#include <string>
#include <string_view>

namespace Operator {

/// The decoded query parameters of a request, by name. A repeated name appears more than once.
using QueryParameters = std::multimap<std::string, std::string>;

// Each reads the parameters of one path and refuses unknown, repeated, missing and malformed ones.
Core::Result<Core::Void, BadRequest> parseNoParameters(QueryParameters const&);
Core::Result<BackendsRequest, BadRequest> parseBackendsRequest(QueryParameters const&);
Core::Result<OwnersRequest, BadRequest> parseOwnersRequest(QueryParameters const&);
Core::Result<UsageRequest, BadRequest> parseUsageRequest(QueryParameters const&);
Core::Result<HistoryRequest, BadRequest> parseHistoryRequest(QueryParameters const&);
Core::Result<TablesRequest, BadRequest> parseTablesRequest(QueryParameters const&);
Core::Result<DiffRequest, BadRequest> parseDiffRequest(QueryParameters const&);
Core::Result<WaitRequest, BadRequest> parseWaitRequest(QueryParameters const&);

/// `pool`, `route`, `caller` or `all`.
std::optional<Telemetry::UsageGrouping> parseGrouping(std::string_view);
std::string_view toString(Telemetry::UsageGrouping);

/// Checks ids, authors, comments and the form of pools and routes, so that everything that is accepted can be shown and
/// edited as an INI document.
std::optional<OperatorError> checkEdit(EditRequest const&);
std::optional<OperatorError> checkService(
    Core::EditId const&, ServiceTarget const&, std::string_view author, std::string_view comment);

} // namespace Operator
