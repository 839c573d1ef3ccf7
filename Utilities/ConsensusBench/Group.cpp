#include "Group.h"

#include <LibConsensus/Codec.h>

#include <numeric>

namespace Bench {

using namespace Consensus;

namespace {

    constexpr std::size_t voterCount = 3;

    Core::HostName hostName(std::size_t voter) { return { "voter" + std::to_string(voter) }; }

} // namespace

Group::Group(std::string const& directory)
{
    std::vector<Member> members;
    for (std::size_t voter = 0; voter < voterCount; ++voter)
        members.push_back({ hostName(voter), {} });
    auto const configuration = Configuration::ofVoters(members);
    for (std::size_t voter = 0; voter < voterCount; ++voter) {
        voters_.push_back(std::make_unique<Voter>(directory + "/" + hostName(voter).value, hostName(voter),
            configuration, [this, voter](PersistSequence sequence) {
                post({ voter, Persisted { sequence } });
            }));
    }
}

void Group::post(Pending pending)
{
    {
        std::lock_guard const lock(mutex_);
        posted_.push_back(std::move(pending));
    }
    changed_.notify_one();
}

void Group::deliver(std::size_t voter, Event event)
{
    auto const actions = voters_[voter]->step(std::move(event));
    if (actions.roleChange && actions.roleChange->role == Role::Leader)
        leader_ = voter;
    for (auto const& answer : actions.proposals) {
        ++answered_;
        committed_ += std::holds_alternative<Committed>(answer.outcome) ? 1 : 0;
    }
    for (auto const& message : actions.messages) {
        auto const bytes = encodeMessage(message);
        bytesSent_ += bytes.size();
        auto decoded = decodeMessage(bytes);
        auto const target = static_cast<std::size_t>(message.to.value.back() - '0');
        local_.push_back({ target, MessageReceived { std::move(decoded).value() } });
    }
}

void Group::runUntil(std::function<bool()> const& condition)
{
    while (!condition()) {
        if (local_.empty()) {
            std::unique_lock lock(mutex_);
            auto wakeAt = voters_.front()->wakeAt();
            for (auto const& voter : voters_)
                wakeAt = std::min(wakeAt, voter->wakeAt());
            auto const wait = std::max(wakeAt - Core::BootClock::now(), Core::Duration(0));
            changed_.wait_for(lock, wait, [this] { return !posted_.empty(); });
            local_.swap(posted_);
        }
        if (local_.empty()) {
            for (std::size_t voter = 0; voter < voters_.size(); ++voter) {
                if (Core::BootClock::now() >= voters_[voter]->wakeAt())
                    deliver(voter, Tick {});
            }
            continue;
        }
        auto pending = std::move(local_.front());
        local_.pop_front();
        deliver(pending.voter, std::move(pending.event));
    }
}

bool Group::elect()
{
    auto const deadline = Core::BootClock::now() + std::chrono::seconds(10);
    auto const isReady = [this] { return leader().role() == Role::Leader && leader().status().isLeaderReady; };
    runUntil([&] { return isReady() || Core::BootClock::now() > deadline; });
    return isReady();
}

void Group::propose(std::vector<Proposal> proposals) { deliver(leader_, Propose { std::move(proposals) }); }

std::uint64_t Group::bytesWritten() const
{
    return std::accumulate(voters_.begin(), voters_.end(), std::uint64_t { 0 },
        [](auto sum, auto const& voter) { return sum + voter->bytesWritten(); });
}

std::uint64_t Group::writes() const
{
    return std::accumulate(voters_.begin(), voters_.end(), std::uint64_t { 0 },
        [](auto sum, auto const& voter) { return sum + voter->writes(); });
}

} // namespace Bench
