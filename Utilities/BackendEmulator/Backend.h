#pragma once

#include "Grants.h"
#include "Switches.h"

#include <LibCore/Hash.h>

#include <condition_variable>
#include <deque>
#include <fstream>
#include <functional>
#include <unordered_map>

namespace Emulator {

struct Settings {
    Proxy::Announcement identity;
    /// One line per run of a request: load id, idempotency key, request id. Survives a crash of the emulator.
    std::string executionLog;
};

/// A request as the emulated service sees it. Empty fields were not sent.
struct Work {
    std::string loadId;
    std::string idempotencyKey;
    std::string requestId;
    std::optional<Core::SlotNumber> slot;
    Core::Epoch epoch;
    bool isMarkedToCrash { false };
    /// Time that the router leaves for the request.
    std::optional<Core::Duration> deadline;
    /// Whether the connection was closed, which cancels the work.
    std::function<bool()> isCancelled;
};

enum class WorkResult : std::uint8_t {
    Done,
    /// Not run: no slot was free or shedding was switched on.
    Shed,
    /// Not run: the fencing token is not valid.
    FencingRefused,
    /// The cold service collapsed while it ran the request.
    Failed,
    Cancelled,
};

/// The emulated service: slots, queue, cold start, fencing, and counts of what ran.
class Backend {
public:
    explicit Backend(Settings settings);

    WorkResult run(Work const&);
    Switches& switches() { return switches_; }
    Grants& grants() { return grants_; }
    Settings const& settings() const { return settings_; }
    /// Call before the first announcement.
    void setPort(std::uint16_t port) { settings_.identity.endpoint.port = port; }
    /// Blocks while the emulator is frozen.
    void waitWhileFrozen() const;
    Proxy::LoadReport load() const;
    /// Adds the current load to the history that delayed reports are taken from.
    void sampleLoad(Core::TimePoint now);
    std::string countsJson() const;

private:
    bool acquireSlot(Work const&);
    void releaseSlot();
    bool isFenced(Work const&);
    bool serve(Work const&);
    void countRun(Work const&);
    Proxy::LoadReport currentLoad() const;

    Settings settings_;
    Switches switches_;
    Grants grants_;
    mutable std::mutex mutex_;
    std::condition_variable slotFree_;
    std::int64_t running_ { 0 };
    std::int64_t waiting_ { 0 };
    std::deque<std::pair<Core::TimePoint, Proxy::LoadReport>> loadHistory_;
    std::ofstream log_;
    std::unordered_map<std::string, std::uint32_t> runsByRequest_;
    std::unordered_map<std::string, std::uint32_t> runsByKey_;
    std::uint64_t runs_ { 0 };
    std::uint64_t shed_ { 0 };
    std::uint64_t fencingRefused_ { 0 };
    std::uint64_t ranWithoutGrant_ { 0 };
    std::uint64_t cancelled_ { 0 };
    std::uint64_t failed_ { 0 };
    std::uint64_t repeatedRequests_ { 0 };
    std::uint64_t repeatedKeys_ { 0 };
    std::int64_t maxRunning_ { 0 };
};

} // namespace Emulator
