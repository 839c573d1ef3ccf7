#include "Simulation.h"

#include <algorithm>

namespace PolicyBench {

void Simulation::at(Core::TimePoint time, Handler handler)
{
    events_.push_back({ std::max(time, now_), ++scheduled_, std::move(handler) });
    std::ranges::push_heap(events_, Later {});
}

void Simulation::runUntil(Core::TimePoint end)
{
    while (!events_.empty() && events_.front().time <= end) {
        std::ranges::pop_heap(events_, Later {});
        auto event = std::move(events_.back());
        events_.pop_back();
        now_ = event.time;
        event.handler();
    }
    now_ = std::max(now_, end);
}

} // namespace PolicyBench
