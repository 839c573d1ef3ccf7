#pragma once

#include <LibCore/Random.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace LoadTool {

/// One kind of request of a workload. The path gets the key appended.
struct Operation {
    std::string_view name;
    std::string_view method;
    std::string_view pathPrefix;
    std::string_view pathSuffix;
    bool isIdempotent { true };
    bool isUpload { false };
    std::uint32_t weight { 1 };
};

/// The operations of `letters`, `orders`, `mixed` (both), or of a single operation's name. Empty for other names.
std::vector<Operation> operationsOf(std::string_view workload);

Operation const& choose(std::span<Operation const>, Core::Random&);

} // namespace LoadTool
