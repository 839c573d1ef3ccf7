#pragma once

#include <LibCore/Time.h>
#include <LibFleet/Model.h>

#include <map>

namespace Fleet {

struct Heartbeat;

/// Finds out which of the removed server incarnations still run.
///
/// A server is removed once it is said to leave, which may have been meant for its earlier incarnation, or once its
/// heartbeats have ceased. A heartbeat that arrives after that may have been sent before, and then must not register
/// the server again. Delayed heartbeats are few and stop; those of a running server keep coming, each newer than the
/// last.
class ReturningServers {
public:
    explicit ReturningServers(Core::Duration heartbeatInterval)
        : heartbeatInterval_(heartbeatInterval)
    {
    }

    /// The server was removed because its heartbeats had ceased. `lastSequence` is that of its last heartbeat.
    void onExpired(Core::ServerName const&, std::int64_t bornMs, std::uint64_t lastSequence);
    /// The server was removed because it was said to leave.
    void onLeft(Core::ServerName const&, std::int64_t bornMs, std::uint64_t lastSequence);

    /// Takes a heartbeat of a removed incarnation. Returns whether the incarnation is known to run.
    bool onHeartbeat(Heartbeat const&, Core::TimePoint now);
    /// Forgets a returned incarnation. Returns the sequence number before its last heartbeat; zero if there was none.
    std::uint64_t takeReturned(Core::ServerName const&, std::int64_t bornMs);
    /// Forgets what is out of date.
    void tick(Core::TimePoint now);

private:
    struct Incarnation {
        Core::ServerName name;
        std::int64_t bornMs { 0 };

        auto operator<=>(Incarnation const&) const = default;
    };
    struct Evidence {
        bool hasExpired { false };
        std::uint64_t lastSequence { 0 };
        std::uint64_t previousSequence { 0 };
        /// The first and the last of an unbroken series of heartbeats since the removal.
        Core::TimePoint first;
        Core::TimePoint last;
        unsigned heartbeats { 0 };
    };

    void add(Core::ServerName const&, std::int64_t bornMs, Evidence const&);

    Core::Duration heartbeatInterval_;
    std::map<Incarnation, Evidence> incarnations_;
};

} // namespace Fleet
