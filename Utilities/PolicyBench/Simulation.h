#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <functional>
#include <vector>

/// Measures dispatch policies in virtual time.
namespace PolicyBench {

/// A queue of events in virtual time. Events of the same time run in the order in which they were scheduled.
class Simulation {
public:
    using Handler = std::function<void()>;

    Core::TimePoint now() const { return now_; }
    void at(Core::TimePoint time, Handler handler);
    void after(Core::Duration delay, Handler handler) { at(now_ + delay, std::move(handler)); }
    void runUntil(Core::TimePoint end);

private:
    struct Event {
        Core::TimePoint time;
        std::uint64_t number { 0 };
        Handler handler;
    };
    struct Later {
        bool operator()(Event const& a, Event const& b) const
        {
            return a.time != b.time ? a.time > b.time : a.number > b.number;
        }
    };

    Core::TimePoint now_ { std::chrono::hours(1) };
    std::uint64_t scheduled_ { 0 };
    std::vector<Event> events_;
};

} // namespace PolicyBench
