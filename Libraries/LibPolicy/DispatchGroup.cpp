#include <LibPolicy/DispatchState.h>

namespace Policy {

DispatchGroup::DispatchGroup(DispatchSettings const& settings, std::uint64_t seed)
    : DispatchGroup(settings, defaultPolicies(settings), seed)
{
}

DispatchGroup::DispatchGroup(DispatchSettings const& settings, DispatchPolicies policies, std::uint64_t seed)
    : state_(std::make_unique<State>(settings, std::move(policies), seed))
{
}

DispatchGroup::~DispatchGroup() = default;
DispatchGroup::DispatchGroup(DispatchGroup&&) noexcept = default;
DispatchGroup& DispatchGroup::operator=(DispatchGroup&&) noexcept = default;

void DispatchGroup::step(Core::TimePoint now, Event const& event, std::vector<Action>& actions)
{
    state_->begin(now, actions);
    std::visit([this](auto const& content) { state_->handle(content); }, event);
}

std::vector<ServerStatus> DispatchGroup::servers() const { return state_->servers(); }
DispatchCounters const& DispatchGroup::counters() const { return state_->counters(); }
std::size_t DispatchGroup::waiting() const { return state_->waiting(); }
std::size_t DispatchGroup::heldPermits() const { return state_->heldPermits(); }

} // namespace Policy
