#include <LibCore/Random.h>

namespace Core {

Random Random::fromSystemEntropy()
{
    std::random_device device;
    auto const high = static_cast<std::uint64_t>(device());
    return Random((high << 32) | device());
}

} // namespace Core
