#pragma once

#include <LibCore/Time.h>

#include <cstddef>

namespace Net {

/// Decides when the next bytes of large bodies are handed to the network.
///
/// Answers the pattern of small requests and answers beside uploads on a small link: the link sends in the order in
/// which bytes are handed over, so that everything small waits behind each body that was handed over whole, 90 ms
/// behind 60 KB on 5 Mbit/s. Bodies are handed over in small pieces at most as fast as the link takes them, whichever
/// connection they belong to; small messages are never held up here. Used on the loop's thread.
class BulkPacer {
public:
    /// Zero: bodies are not held up.
    explicit BulkPacer(double bytesPerSecond = 0);

    /// How many of the bytes may be handed over now. Zero: none before `nextAt`.
    std::size_t take(Core::TimePoint now, std::size_t wanted);
    Core::TimePoint nextAt() const { return freeAt_; }

    /// Shorter messages are not held up.
    static constexpr std::size_t minBulkBytes = 16UL * 1024;

private:
    double bytesPerSecond_;
    /// When the link has taken what was handed over before.
    Core::TimePoint freeAt_;
};

} // namespace Net
