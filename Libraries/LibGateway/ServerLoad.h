#pragma once

#include <LibCore/Time.h>
#include <LibGateway/RequestCodec.h>

namespace Gateway {

/// What one entry host knows of the load of one backend server.
///
/// Reports come with answers only, so they are old where an entry host rarely sends to a server. A reported load beyond
/// the own requests is believed less the older it is.
class ServerLoad {
public:
    explicit ServerLoad(std::uint32_t slots)
        : slots_(std::max(slots, 1U))
    {
    }

    void onSent() { ++inFlight_; }
    /// The request that was sent is answered or given up.
    void onDone() { inFlight_ -= std::min(inFlight_, 1U); }
    void onReport(ServerLoadReport const&, Core::TimePoint now);
    void onServiceTime(Core::Duration);
    /// How long the work of an answered request took without its wait at the server, as far as the answer tells. With
    /// the queue that the server reports, since an overloaded server has no answer that did not wait, and would never
    /// be found slow. Empty if the server reports no load and may have been busy.
    static std::optional<Core::Duration> serviceTimeOf(
        Core::Duration elapsed, bool wasIdleAtSend, std::optional<ServerLoadReport> const&);
    /// No connection came about. The server is left alone for a while, longer each time.
    void onUnreachable(Core::TimePoint now);
    /// It answered as itself.
    void onReachable();
    /// It said that it does not have the key, or is another server than the addressed one. A server that does so
    /// several times without any other answer has probably ended, and its address belongs to another one.
    void onMisdirected(Core::TimePoint now);

    bool isUnreachable(Core::TimePoint now) const { return now < avoidUntil_; }
    Core::TimePoint avoidUntil() const { return avoidUntil_; }
    std::uint32_t inFlight() const { return inFlight_; }
    std::uint32_t slots() const { return slots_; }
    /// Requests at the server, of all entry hosts, as far as known.
    double occupancy(Core::TimePoint now) const;
    /// How long one more request would wait for a slot.
    Core::Duration expectedWait(Core::TimePoint now) const;
    /// How long a request takes once it has a slot.
    Core::Duration serviceTime() const { return serviceTime_; }
    /// Whether one more request fits into the slots and a bounded queue, of which `reserved` places are kept for
    /// others.
    bool hasRoom(Core::TimePoint now, double reserved) const;

private:
    std::uint32_t slots_;
    std::uint32_t inFlight_ { 0 };
    double othersAtReport_ { 0 };
    Core::TimePoint reportedAt_;
    Core::Duration serviceTime_ { std::chrono::milliseconds(100) };
    std::uint32_t failures_ { 0 };
    std::uint32_t misdirected_ { 0 };
    Core::TimePoint avoidUntil_;
};

} // namespace Gateway
