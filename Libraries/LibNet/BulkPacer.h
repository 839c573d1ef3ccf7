#pragma once

#include <LibCore/Time.h>

#include <cstddef>

namespace Net {

/// Decides when the next bytes of large bodies are handed to the network.
///
/// Answers the pattern of small requests and answers beside uploads on a small link: the link sends in the order in
/// which bytes are handed over, so that everything small waits behind each body that was handed over whole, 90 ms
/// behind 60 KB on 5 Mbit/s. Bodies are handed over in small pieces at most as fast as the link takes them beside
/// everything else, whichever connection they belong to; small messages are never held up here. Used on the loop's
/// thread.
class BulkPacer {
public:
    /// Zero: bodies are not held up.
    explicit BulkPacer(double bytesPerSecond = 0);

    /// How many of the bytes may be handed over now. Zero: none before `nextAt`.
    std::size_t take(Core::TimePoint now, std::size_t wanted);
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
    /// Whether bodies wait for the link.
    bool isAwaited_ { false };
    /// How much of the link's time may still be counted for other bytes, as of `countedAt_`.
    Core::Duration otherAllowance_;
    Core::TimePoint countedAt_;
};

} // namespace Net
