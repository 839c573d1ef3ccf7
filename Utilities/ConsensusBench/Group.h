#pragma once

#include "Voter.h"

#include <deque>

namespace Bench {

/// Three voters in one process. One thread steps all of them; messages pass through their encoding.
class Group {
public:
    explicit Group(std::string const& directory);

    /// Runs until there is a leader that can commit. False after ten seconds.
    bool elect();
    /// Proposes at the leader.
    void propose(std::vector<Consensus::Proposal>);
    /// Handles events until the condition holds.
    void runUntil(std::function<bool()> const&);

    std::uint64_t answered() const { return answered_; }
    std::uint64_t committed() const { return committed_; }
    std::uint64_t bytesSent() const { return bytesSent_; }
    std::uint64_t bytesWritten() const;
    std::uint64_t writes() const;
    Consensus::Node const& leader() const { return voters_[leader_]->node(); }

private:
    struct Pending {
        std::size_t voter;
        Consensus::Event event;
    };

    void deliver(std::size_t voter, Consensus::Event);
    void post(Pending);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<Pending> posted_;
    std::deque<Pending> local_;
    std::size_t leader_ { 0 };
    std::uint64_t answered_ { 0 };
    std::uint64_t committed_ { 0 };
    std::uint64_t bytesSent_ { 0 };
    /// Last, so that the storage threads end before what they use.
    std::vector<std::unique_ptr<Voter>> voters_;
};

} // namespace Bench
