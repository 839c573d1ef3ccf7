#include <LibConsensus/Machine.h>

#include <limits>

namespace Consensus {

void Node::Machine::runTimers()
{
    if (role_ == Role::Leader)
        runLeaderTimers();
    else
        runElectionTimer();
    if (storageState_ == StorageState::Failed && now_ >= storageRetryAt_)
        rewriteStorage();
}

void Node::Machine::runLeaderTimers()
{
    // Check-quorum runs first, so that a leader that was paused steps down before it does anything else.
    auto const contact = quorumValue(now_, [](Progress const& peer) { return peer.lastContactAt(); });
    if (now_ - contact > settings_.electionTimeoutMin)
        return becomeFollower(term_, std::nullopt);
    if (leadershipTransfer_ && now_ >= leadershipTransfer_->deadline) {
        // The target was told to start an election and may still do so. Waiting for it would leave the cluster with a
        // leader that rejects proposals.
        if (leadershipTransfer_->isSent)
            return becomeFollower(term_, std::nullopt);
        actions_.transfer = TransferOutcome::TimedOut;
        leadershipTransfer_.reset();
    }
    if (now_ >= nextHeartbeat_)
        startRound();
}

void Node::Machine::runElectionTimer()
{
    if (now_ < electionDeadline_)
        return;
    // If the deadline passed long ago, this process was probably paused, not the leader. Messages from the leader may
    // be waiting to be read, so one deadline is skipped.
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

/// Compares the term of a message with the current term and adopts a higher one. Returns false if the message must not
/// be handled further.
bool Node::Machine::adoptTerm(Message const& message)
{
    auto const* voteRequest = std::get_if<VoteRequest>(&message.body);
    auto const* voteResponse = std::get_if<VoteResponse>(&message.body);
    auto const isFromLeader = std::holds_alternative<Heartbeat>(message.body)
        || std::holds_alternative<AppendRequest>(message.body) || std::holds_alternative<SnapshotChunk>(message.body);

    // The handler of vote requests decides whether to adopt the term, so that a request from a host that was
    // partitioned does not depose the leader.
    if (voteRequest)
        return true;
    if (message.term < term_) {
        // The response tells the former leader about the newer term, so that it steps down.
        if (isFromLeader)
            send(message.from, HeartbeatResponse {});
        return voteResponse && voteResponse->isPreVote;
    }
    if (message.term > term_) {
        // A host that was removed from the configuration must not depose the leader.
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
        verifiedIndex_ = {};
        lastAcknowledgedIndex_ = {};
        lastLeaderRound_ = {};
        snapshotReceiver_.clear();
        deferredMessages_.clear();
        persistHardState();
    }
    if (!wasLeader)
        return;
    reads_.refuseAll(NotLeader { leader_.value_or(Core::HostName {}) }, actions_.reads);
    if (leadershipTransfer_)
        actions_.transfer = TransferOutcome::Completed;
    leadershipTransfer_.reset();
    peers_.clear();
    startedRounds_.clear();
}

void Node::Machine::startPreVote()
{
    resetElectionTimer();
    leader_.reset();
    if (!isVoter() || !canTakePartInElections()) {
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
    deferredMessages_.clear();
    term_ = term_.next();
    votedFor_ = settings_.host;
    verifiedIndex_ = {};
    lastAcknowledgedIndex_ = {};
    lastLeaderRound_ = {};
    snapshotReceiver_.clear();
    // The requests are sent, and this host's own vote is counted, only once the vote is durable. Otherwise this host
    // could win the election, crash, and win the same term again with a different log.
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

bool Node::Machine::hasRecentLeaderContact() const
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
        auto const isGranted = request.electionTerm > term_ && !hasRecentLeaderContact() && isUpToDate(request)
            && canTakePartInElections();
        return send(from, VoteResponse { request.electionTerm, isGranted, true });
    }
    if (request.electionTerm != term)
        return refuse(from, MessageRefusal::Malformed);
    if (request.electionTerm > term_) {
        // The leader is still active, and adopting the term would depose it.
        if (hasRecentLeaderContact() && !request.isTransfer)
            return;
        becomeFollower(request.electionTerm, std::nullopt);
    }
    auto const isEligibleRole = role_ == Role::Follower || role_ == Role::PreCandidate;
    auto const mayVote
        = request.electionTerm == term_ && isEligibleRole && (votedFor_ ? *votedFor_ == from : !leader_.has_value());
    auto const isGranted = mayVote && isUpToDate(request) && canTakePartInElections();
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
    auto const isPreVoteResponse
        = response.isPreVote && role_ == Role::PreCandidate && response.electionTerm == term_.next();
    auto const isVoteResponse
        = !response.isPreVote && role_ == Role::Candidate && response.electionTerm == term_ && term == term_;
    if (response.isGranted && (isPreVoteResponse || isVoteResponse))
        countVote(from);
}

void Node::Machine::handle(Core::HostName const& from, Term, TimeoutNow const&)
{
    if (role_ == Role::Follower && leader_ == from && isVoter() && canTakePartInElections())
        startElection(true);
}

void Node::Machine::halt()
{
    if (role_ == Role::Leader)
        becomeFollower(term_, std::nullopt);
    role_ = Role::Halted;
    leader_.reset();
    deferredMessages_.clear();
    actions_.messages.clear();
    proposals_.markUnresolvedUpTo({ std::numeric_limits<std::uint64_t>::max() }, actions_.proposals);
}

} // namespace Consensus
