#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Emulator {

/// What can be changed while the emulator runs, by `POST /switches?name=value` on the admin port.
enum class Switch : std::uint8_t {
    /// Requests that run at the same time.
    Slots,
    /// Requests that wait for a slot; beyond it the emulator sheds.
    Queue,
    ServiceMs,
    /// This many requests after the start are cold: they take ColdServiceMs, and fail while more than ColdConcurrency
    /// of them run. Setting it makes the emulator cold again.
    ColdRequests,
    ColdServiceMs,
    ColdConcurrency,
    /// 1: sheds every request.
    Shed,
    /// 1: neither answers nor announces until it is 0 again.
    Freeze,
    /// 1: terminates the process when a request carries the header Load-Crash.
    CrashOnMarked,
    /// Reports the load of this many milliseconds ago.
    LoadDelayMs,
    /// Percentage reported as utilization in place of the real one; -1 reports the real one.
    LoadLiePercent,
    /// Each increase silences all connections that exist at that moment; new ones work.
    SilentGeneration,
    /// Responses are held back this long after the request ran.
    LateMs,
    /// 1: announces itself as draining.
    Drain,
    Count,
};

class Switches {
public:
    Switches();

    std::int64_t operator[](Switch name) const { return values_.at(static_cast<std::size_t>(name)); }
    void set(Switch, std::int64_t value);
    /// Sets `name=value`. False when there is no such switch or the value is no number.
    bool set(std::string_view name, std::string_view value);
    std::string toJson() const;

private:
    std::array<std::atomic<std::int64_t>, static_cast<std::size_t>(Switch::Count)> values_ {};
};

} // namespace Emulator
