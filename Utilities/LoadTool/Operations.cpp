#include "Operations.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace LoadTool {

namespace {

    constexpr std::array letterOperations {
        Operation { "letter-status", "GET", "/letters/", "/status", true, false, 60 },
        Operation { "letter-send", "POST", "/letters/", "/send", false, false, 15 },
        Operation { "letter-reply", "POST", "/letters/", "/reply", false, false, 10 },
        Operation { "upload", "PUT", "/uploads/", "", true, true, 15 },
    };
    constexpr std::array orderOperations {
        Operation { "stock", "GET", "/stock/", "", true, false, 60 },
        Operation { "order", "POST", "/orders/", "", false, false, 15 },
        Operation { "scan", "PUT", "/scans/", "", true, true, 25 },
    };

} // namespace

std::vector<Operation> operationsOf(std::string_view workload)
{
    std::vector<Operation> all(letterOperations.begin(), letterOperations.end());
    all.insert(all.end(), orderOperations.begin(), orderOperations.end());
    if (workload == "mixed")
        return all;
    if (workload == "letters")
        return { letterOperations.begin(), letterOperations.end() };
    if (workload == "orders")
        return { orderOperations.begin(), orderOperations.end() };
    std::erase_if(all, [&](auto const& operation) { return operation.name != workload; });
    return all;
}

Operation const& choose(std::span<Operation const> operations, Core::Random& random)
{
    auto const total = std::accumulate(operations.begin(), operations.end(), 0U,
        [](auto sum, auto const& operation) { return sum + operation.weight; });
    auto remaining = random.below(total);
    auto const found = std::ranges::find_if(operations, [&](auto const& operation) {
        if (remaining < operation.weight)
            return true;
        remaining -= operation.weight;
        return false;
    });
    return *found;
}

} // namespace LoadTool
