#include <LibNet/BulkPacer.h>

#include <algorithm>

namespace Net {

namespace {

    /// Handed over at once: 12 ms of a link of 5 Mbit/s, which is how long something small waits behind it.
    constexpr std::size_t pieceBytes = 8UL * 1024;

} // namespace

BulkPacer::BulkPacer(double bytesPerSecond)
    : bytesPerSecond_(bytesPerSecond)
{
}

std::size_t BulkPacer::take(Core::TimePoint now, std::size_t wanted)
{
    if (bytesPerSecond_ <= 0)
        return wanted;
    if (now < freeAt_)
        return 0;
    auto const bytes = std::min(wanted, pieceBytes);
    auto const time = std::chrono::duration<double>(static_cast<double>(bytes) / bytesPerSecond_);
    freeAt_ = now + std::chrono::duration_cast<Core::Duration>(time);
    return bytes;
}

} // namespace Net
