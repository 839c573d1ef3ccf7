#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Paths and headers of docs/operator-api.md, shared by the server and the client.
namespace Operator {

inline constexpr auto statusPath = "/v1/status";
inline constexpr auto poolsPath = "/v1/pools";
inline constexpr auto routesPath = "/v1/routes";
inline constexpr auto backendsPath = "/v1/backends";
inline constexpr auto domainsPath = "/v1/domains";
inline constexpr auto ownersPath = "/v1/owners";
inline constexpr auto usagePath = "/v1/usage";
inline constexpr auto historyPath = "/v1/history";
inline constexpr auto tablesPath = "/v1/tables";
inline constexpr auto diffPath = "/v1/diff";
inline constexpr auto waitPath = "/v1/wait";
inline constexpr auto editsPath = "/v1/edits";
inline constexpr auto drainPath = "/v1/drain";
inline constexpr auto returnPath = "/v1/return";
inline constexpr auto quarantinePath = "/v1/quarantine";
inline constexpr auto liftQuarantinePath = "/v1/quarantine/lift";

/// Marks a request that a process forwarded to the leader. It is not forwarded again.
inline constexpr auto forwardedHeader = "Primroseshift-Forwarded";
inline constexpr auto jsonContentType = "application/json";

/// `path?name=value&...` with percent-encoding; parameters without a value are left out.
std::string makeTarget(std::string_view path, std::vector<std::pair<std::string_view, std::string>> const& parameters);

} // namespace Operator
