#include <LibConsensus/Machine.h>

#include <limits>

namespace Consensus {

void Node::Machine::runTimers()
{
    if (role_ == Role::Leader)
        runLeaderTimers();
    else
        runElectionTimer();
}

void Node::Machine::runLeaderTimers()
{
    // Check-quorum. It comes before everything else, so that a leader that was paused does not act on waking up.
    auto const contact = quorumValue(now_, [](Progress const& peer) { return peer.contactAt(); });
    if (now_ - contact > settings_.electionTimeoutMin)
        return becomeFollower(term_, std::nullopt);
    if (transfer_ && now_ >= transfer_->deadline) {
        // A target that was told to start an election may still do so. Waiting for it would leave the cluster with a
        // leader that refuses proposals.
        if (transfer_->isSent)
            return becomeFollower(term_, std::nullopt);
        actions_.transfer = TransferOutcome::TimedOut;
        transfer_.reset();
    }
    if (now_ >= nextHeartbeat_)
        startRound();
}

void Node::Machine::runElectionTimer()
{
    if (now_ < electionDeadline_)
        return;
    // Far behind the deadline, this process was paused rather than the leader: messages may be waiting to be read.
    auto const wasPaused = now_ - electionDeadline_ > settings_.heartbeatInterval;
    if (wasPaused && !hasSkippedDeadline_) {
        resetElectionTimer();
        hasSkippedDeadline_ = true;
        return;
    }
    startPreVote();
}

void Node::Machine::resetElectionTimer()
{
    auto const spread = settings_.electionTimeoutMax - settings_.electionTimeoutMin;
    auto const extra = random_.below(static_cast<std::uint64_t>(spread.count()) + 1);
    electionDeadline_ = now_ + settings_.electionTimeoutMin + Core::Duration(static_cast<std::int64_t>(extra));
    hasSkippedDeadline_ = false;
}

/// Compares the term of a message with the own one. False when there is nothing left to handle.
bool Node::Machine::adoptTerm(Message const& message)
{
    auto const* voteRequest = std::get_if<VoteRequest>(&message.body);
    auto const* voteResponse = std::get_if<VoteResponse>(&message.body);
    auto const isFromLeader = std::holds_alternative<Heartbeat>(message.body)
        || std::holds_alternative<AppendRequest>(message.body) || std::holds_alternative<SnapshotChunk>(message.body);

    // Vote requests decide on the term themselves, so that one from a host that was cut off changes nothing.
    if (voteRequest)
        return true;
    if (message.term < term_) {
        // The sender learns the term and steps down, since it cannot lead this host any more.
        if (isFromLeader)
            send(message.from, HeartbeatResponse {});
        return voteResponse && voteResponse->isPreVote;
    }
    if (message.term > term_) {
        // A host that was removed must not depose a leader.
        if (!isFromLeader && role_ == Role::Leader && !configurations_.current().isMember(message.from))
            return false;
        becomeFollower(message.term, isFromLeader ? std::optional(message.from) : std::nullopt);
    }
    if (isFromLeader && role_ == Role::Leader) {
        refuse(message.from, MessageRefusal::Malformed);
        return false;
    }
    return true;
}

void Node::Machine::becomeFollower(Term term, std::optional<Core::HostName> leader)
{
    auto const wasLeader = role_ == Role::Leader;
    if (role_ != Role::Follower)
        resetElectionTimer();
    role_ = Role::Follower;
    leader_ = std::move(leader);
    votes_.clear();
    if (term > term_) {
        term_ = term;
        votedFor_.reset();
        verified_ = {};
        lastAcknowledged_ = {};
        lastRound_ = {};
        receiver_.clear();
        heldMessages_.clear();
        persistHardState();
    }
    if (!wasLeader)
        return;
    reads_.refuseAll(NotLeader { leader_.value_or(Core::HostName {}) }, actions_.reads);
    if (transfer_)
        actions_.transfer = TransferOutcome::Completed;
    transfer_.reset();
    peers_.clear();
    startedRounds_.clear();
}

void Node::Machine::startPreVote()
{
    resetElectionTimer();
    leader_.reset();
    if (!isVoter() || isBlank()) {
        role_ = Role::Follower;
        return;
    }
    role_ = Role::PreCandidate;
    votes_.clear();
    VoteRequest const request {
        .electionTerm = term_.next(), .lastIndex = log_.lastIndex(), .lastTerm = log_.lastTerm(), .isPreVote = true
    };
    for (auto const& voter : configurations_.current().voters) {
        if (voter.name != settings_.host)
            send(voter.name, request);
    }
    countVote(settings_.host);
}

void Node::Machine::startElection(bool isTransfer)
{
    resetElectionTimer();
    role_ = Role::Candidate;
    leader_.reset();
    votes_.clear();
    heldMessages_.clear();
    term_ = term_.next();
    votedFor_ = settings_.host;
    verified_ = {};
    lastAcknowledged_ = {};
    lastRound_ = {};
    receiver_.clear();
    // The requests are held back, and the own vote is counted, until the vote is durable. Otherwise this host could
    // win, crash, and win the same term again with another log.
    persistHardState();
    VoteRequest const request {
        .electionTerm = term_, .lastIndex = log_.lastIndex(), .lastTerm = log_.lastTerm(), .isTransfer = isTransfer
    };
    for (auto const& voter : configurations_.current().voters) {
        if (voter.name != settings_.host)
            send(voter.name, request);
    }
}

void Node::Machine::countVote(Core::HostName const& voter)
{
    if (!configurations_.current().isVoter(voter))
        return;
    votes_.insert(voter);
    auto const count
        = std::ranges::count_if(votes_, [this](auto const& name) { return configurations_.current().isVoter(name); });
    if (static_cast<std::size_t>(count) < configurations_.current().quorum())
        return;
    if (role_ == Role::PreCandidate)
        startElection(false);
    else if (role_ == Role::Candidate)
        becomeLeader();
}

bool Node::Machine::hearsLeader() const
{
    return role_ == Role::Leader || now_ - lastLeaderContact_ < settings_.electionTimeoutMin;
}

bool Node::Machine::isUpToDate(VoteRequest const& request) const
{
    return std::tuple(request.lastTerm, request.lastIndex) >= std::tuple(log_.lastTerm(), log_.lastIndex());
}

void Node::Machine::handle(Core::HostName const& from, Term term, VoteRequest const& request)
{
    if (request.isPreVote) {
        auto const isGranted = request.electionTerm > term_ && !hearsLeader() && isUpToDate(request) && !isBlank();
        return send(from, VoteResponse { request.electionTerm, isGranted, true });
    }
    if (request.electionTerm != term)
        return refuse(from, MessageRefusal::Malformed);
    if (request.electionTerm > term_) {
        // The leader is alive. Adopting the term would depose it.
        if (hearsLeader() && !request.isTransfer)
            return;
        becomeFollower(request.electionTerm, std::nullopt);
    }
    auto const isFree = role_ == Role::Follower || role_ == Role::PreCandidate;
    auto const mayVote
        = request.electionTerm == term_ && isFree && (votedFor_ ? *votedFor_ == from : !leader_.has_value());
    auto const isGranted = mayVote && isUpToDate(request) && !isBlank();
    if (isGranted) {
        becomeFollower(term_, leader_);
        resetElectionTimer();
        if (!votedFor_) {
            votedFor_ = from;
            persistHardState();
        }
    }
    send(from, VoteResponse { request.electionTerm, isGranted, false });
}

void Node::Machine::handle(Core::HostName const& from, Term term, VoteResponse const& response)
{
    auto const isPreVoteAnswer
        = response.isPreVote && role_ == Role::PreCandidate && response.electionTerm == term_.next();
    auto const isVoteAnswer
        = !response.isPreVote && role_ == Role::Candidate && response.electionTerm == term_ && term == term_;
    if (response.isGranted && (isPreVoteAnswer || isVoteAnswer))
        countVote(from);
}

void Node::Machine::handle(Core::HostName const& from, Term, TimeoutNow const&)
{
    if (role_ == Role::Follower && leader_ == from && isVoter() && !isBlank())
        startElection(true);
}

void Node::Machine::halt()
{
    if (role_ == Role::Leader)
        becomeFollower(term_, std::nullopt);
    role_ = Role::Halted;
    leader_.reset();
    heldMessages_.clear();
    actions_.messages.clear();
    proposals_.giveUpTo({ std::numeric_limits<std::uint64_t>::max() }, actions_.proposals);
}

} // namespace Consensus
