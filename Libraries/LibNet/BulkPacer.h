#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <vector>

namespace Net {

/// Sends a large body in pieces.
class BulkSender {
public:
    virtual ~BulkSender() = default;
    /// The bodies before this one are sent.
    virtual void onTurn() = 0;
};

/// Decides when the next bytes of large bodies are handed to the network.
///
/// Answers the pattern of small requests and answers beside uploads on a small link: the link sends in the order in
/// which bytes are handed over, so that everything small waits behind each body that was handed over whole, 90 ms
/// behind 60 KB on 5 Mbit/s. Bodies are handed over in small pieces at most as fast as the link takes them beside
/// everything else, whichever connection they belong to; small messages are never held up here. Used on the loop's
/// thread.
///
/// Answers the pattern of many uploads at once: they are sent one after the other, in the order in which they came, as
/// all of them would arrive as late as the last one if they shared the link. One whose receiver does not keep up loses
/// its turn.
class BulkPacer {
public:
    /// Zero: bodies are not held up.
    explicit BulkPacer(double bytesPerSecond = 0);

    /// How many bytes of a body may be handed over now. Zero: none before `nextAt`, or before the turn of the sender,
    /// which stays in line until it leaves.
    std::size_t take(Core::TimePoint now, BulkSender&, std::size_t wanted);
    /// Nothing more is to be sent, or nothing more can be for now.
    void leave(BulkSender&);
    bool hasTurn(BulkSender const& sender) const { return !line_.empty() && line_.front() == &sender; }
    /// Counts bytes that were handed over without being held up. Bodies wait for them, but keep a part of the link.
    void countOther(Core::TimePoint now, std::size_t bytes);
    Core::TimePoint nextAt() const { return freeAt_; }

    /// Shorter messages are not held up.
    static constexpr std::size_t minBulkBytes = 16UL * 1024;

private:
    Core::Duration timeFor(std::size_t bytes) const;

    double bytesPerSecond_;
    /// When the link has taken what was handed over before.
    Core::TimePoint freeAt_;
    std::vector<BulkSender*> line_;
    /// How much of the link's time may still be counted for other bytes, as of `countedAt_`.
    Core::Duration otherAllowance_;
    Core::TimePoint countedAt_;
};

} // namespace Net
