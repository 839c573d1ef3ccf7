#include "Seeds.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <string_view>

namespace Test {

namespace {

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
    constexpr std::uint64_t sanitizerSeedDivisor = 10;
#else
    constexpr std::uint64_t sanitizerSeedDivisor = 1;
#endif

} // namespace

SeedRange seedRange(std::uint64_t count)
{
    auto const* variable = std::getenv("PRIMROSESHIFT_SEEDS"); // NOLINT(concurrency-mt-unsafe)
    SeedRange range { 0, std::max<std::uint64_t>(count / sanitizerSeedDivisor, 1) - 1 };
    if (!variable)
        return range;
    std::string_view const text(variable);
    auto const colon = text.find(':');
    if (colon == std::string_view::npos)
        return range;
    std::from_chars(text.data(), text.data() + colon, range.first);
    std::from_chars(text.data() + colon + 1, text.data() + text.size(), range.last);
    return range;
}

} // namespace Test
