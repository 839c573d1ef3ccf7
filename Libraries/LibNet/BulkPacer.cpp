#include <LibNet/BulkPacer.h>

#include <algorithm>
#include <utility>

namespace Net {

namespace {

    /// Handed over at once: 12 ms of a link of 5 Mbit/s, which is how long something small waits behind it.
    constexpr std::size_t pieceBytes = 8UL * 1024;

    /// Bodies keep one part in this many of the link's time, however much else there is.
    constexpr int bodyShareDivisor = 4;

    /// The longest time that bodies wait for other bytes that come at once.
    constexpr Core::Duration maxOtherBurst = std::chrono::milliseconds(200);

} // namespace

BulkPacer::BulkPacer(double bytesPerSecond)
    : bytesPerSecond_(bytesPerSecond)
    , otherAllowance_(maxOtherBurst)
{
}

Core::Duration BulkPacer::timeFor(std::size_t bytes) const
{
    auto const time = std::chrono::duration<double>(static_cast<double>(bytes) / bytesPerSecond_);
    return std::chrono::duration_cast<Core::Duration>(time);
}

std::size_t BulkPacer::take(Core::TimePoint now, BulkSender& sender, std::size_t wanted)
{
    if (bytesPerSecond_ <= 0)
        return wanted;
    if (std::ranges::find(line_, &sender) == line_.end())
        line_.push_back(&sender);
    if (!hasTurn(sender) || now < freeAt_)
        return 0;
    auto const bytes = std::min(wanted, pieceBytes);
    freeAt_ = now + timeFor(bytes);
    return bytes;
}

void BulkPacer::leave(BulkSender& sender)
{
    auto const hadTurn = hasTurn(sender);
    std::erase(line_, &sender);
    if (hadTurn && !line_.empty())
        line_.front()->onTurn();
}

void BulkPacer::countOther(Core::TimePoint now, std::size_t bytes)
{
    if (bytesPerSecond_ <= 0)
        return;
    auto const elapsed = std::min(now - std::exchange(countedAt_, now), bodyShareDivisor * maxOtherBurst);
    otherAllowance_ = std::min(otherAllowance_ + elapsed - elapsed / bodyShareDivisor, maxOtherBurst);
    auto const counted = std::min(timeFor(bytes), otherAllowance_);
    otherAllowance_ -= counted;
    // Bodies that wait lose nothing of their part to the time between the end of their wait and their next piece.
    freeAt_ = (line_.empty() ? std::max(freeAt_, now) : freeAt_) + counted;
}

} // namespace Net
