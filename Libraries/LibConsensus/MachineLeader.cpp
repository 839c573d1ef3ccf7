#include <LibConsensus/Machine.h>

namespace Consensus {

void Node::Machine::becomeLeader()
{
    role_ = Role::Leader;
    leader_ = settings_.host;
    votes_.clear();
    peers_.clear();
    round_ = {};
    startedRounds_.clear();
    uncommittedBytes_ = 0;
    for (auto index = commitIndex_.next(); index <= log_.lastIndex(); index = index.next())
        uncommittedBytes_ += flowControlBytes(log_.at(index));
    updatePeers();
    ownTermFirstIndex_ = log_.lastIndex().next();
    startRound();
    appendAsLeader({ LogEntry { .content = Noop {} } });
}

void Node::Machine::appendAsLeader(std::vector<LogEntry> entries)
{
    for (auto& entry : entries) {
        entry.term = term_;
        entry.index = log_.lastIndex().next();
        uncommittedBytes_ += flowControlBytes(entry);
        log_.append(entry);
        if (auto const* configuration = std::get_if<Configuration>(&entry.content)) {
            changeConfiguration(entry.index, *configuration);
            updatePeers();
        }
    }
    persist({ .entries = std::move(entries) });
    replicateToAll();
    // A new configuration with fewer voters may have a smaller quorum, which existing acknowledgments already form.
    advanceCommit();
}

void Node::Machine::updatePeers()
{
    auto const& configuration = configurations_.current();
    std::erase_if(peers_, [&](auto const& peer) { return !configuration.isMember(peer.first); });
    for (auto const* members : { &configuration.voters, &configuration.learners }) {
        for (auto const& member : *members) {
            if (member.name != settings_.host)
                peers_.try_emplace(member.name, log_.lastIndex(), now_);
        }
    }
}

void Node::Machine::handle(Propose& event)
{
    auto const isAccepting = role_ == Role::Leader && !leadershipTransfer_;
    auto const hint = leadershipTransfer_ ? leadershipTransfer_->target : leader_.value_or(Core::HostName {});
    auto bytes = uncommittedBytes_;
    auto logBytes = log_.bytesBetween(log_.baseIndex(), log_.lastIndex());
    std::vector<LogEntry> entries;
    for (auto& proposal : event.proposals) {
        if (!isAccepting) {
            actions_.proposals.push_back({ proposal.token, NotLeader { hint } });
            continue;
        }
        auto const size = proposal.payload.size();
        if (bytes + size > settings_.maxUncommittedBytes || logBytes + size > settings_.maxLogBytes) {
            actions_.proposals.push_back({ proposal.token, Overloaded {} });
            continue;
        }
        bytes += size;
        logBytes += size;
        proposals_.add({ log_.lastIndex().value + entries.size() + 1 }, term_, proposal.token);
        entries.push_back({ .content = Command { std::move(proposal.payload) } });
    }
    if (!entries.empty())
        appendAsLeader(std::move(entries));
}

void Node::Machine::handle(RequestChange const& event)
{
    auto const refuseChange = [&](ChangeRefusal reason) {
        actions_.proposals.push_back({ event.token, ChangeRefused { reason } });
    };
    if (role_ != Role::Leader) {
        actions_.proposals.push_back({ event.token, NotLeader { leader_.value_or(Core::HostName {}) } });
        return;
    }
    if (leadershipTransfer_)
        return refuseChange(ChangeRefusal::Transferring);
    // Until a leader has committed an entry of its own term, it may not know a configuration that an earlier leader
    // committed.
    if (!isLeaderReady())
        return refuseChange(ChangeRefusal::LeaderNotReady);
    if (configurations_.currentIndex() > commitIndex_)
        return refuseChange(ChangeRefusal::ChangeInProgress);
    auto next = configurations_.current().with(event.change);
    if (next.isError())
        return refuseChange(next.error());
    auto const* promotion = std::get_if<PromoteLearner>(&event.change);
    if (promotion && !isCaughtUp(promotion->host))
        return refuseChange(ChangeRefusal::NotCaughtUp);
    proposals_.add(log_.lastIndex().next(), term_, event.token);
    appendAsLeader({ LogEntry { .content = std::move(next).value() } });
}

bool Node::Machine::isCaughtUp(Core::HostName const& host) const
{
    auto const peer = peers_.find(host);
    if (peer == peers_.end() || peer->second.matchIndex().value == 0 || !peer->second.hasContact())
        return false;
    return peer->second.matchIndex().value + settings_.maxPromotionLag >= log_.lastIndex().value
        && now_ - peer->second.lastContactAt() <= settings_.electionTimeoutMin;
}

void Node::Machine::handle(RequestRead const& event)
{
    if (role_ == Role::Leader)
        return reads_.add(event.tokens);
    for (auto const token : event.tokens)
        actions_.reads.push_back({ token, NotLeader { leader_.value_or(Core::HostName {}) } });
}

void Node::Machine::startReadRound()
{
    if (!reads_.hasWaiting() || !isLeaderReady())
        return;
    auto const confirmed = quorumValue(round_, [](Progress const& peer) { return peer.ackedRound(); });
    if (round_.value - confirmed.value >= settings_.maxReadRounds)
        return;
    startRound();
    reads_.assignToRound(round_, commitIndex_);
    completeReads();
}

void Node::Machine::completeReads()
{
    auto const confirmed = quorumValue(round_, [](Progress const& peer) { return peer.ackedRound(); });
    reads_.confirm(confirmed, actions_.reads);
}

void Node::Machine::startRound()
{
    round_ = round_.next();
    startedRounds_.push_back({ round_, now_ });
    // An acknowledgment of an older round no longer proves contact within the election timeout.
    while (now_ - startedRounds_.front().startedAt > settings_.electionTimeoutMin)
        startedRounds_.pop_front();
    nextHeartbeat_ = now_ + settings_.heartbeatInterval;
    for (auto const& [host, peer] : peers_) {
        auto const isVoter = configurations_.current().isVoter(host);
        send(host, Heartbeat { round_, std::min(commitIndex_, peer.matchIndex()), isVoter });
    }
}

Progress* Node::Machine::progressOf(Core::HostName const& host)
{
    auto const peer = peers_.find(host);
    return role_ != Role::Leader || peer == peers_.end() ? nullptr : &peer->second;
}

void Node::Machine::recordContact(Progress& peer, Round round)
{
    auto const started = std::ranges::lower_bound(startedRounds_, round, {}, &StartedRound::round);
    auto const isKnown = started != startedRounds_.end() && started->round == round;
    peer.recordContact(round, isKnown ? std::optional(started->startedAt) : std::nullopt);
    completeReads();
}

void Node::Machine::handle(Core::HostName const& from, Term, HeartbeatResponse const& response)
{
    auto* peer = progressOf(from);
    if (!peer)
        return;
    if (response.round > round_ || response.receivedIndex > log_.lastIndex() || response.matchIndex > log_.lastIndex())
        return refuse(from, MessageRefusal::Malformed);
    recordContact(*peer, response.round);
    if (response.matchIndex > peer->matchIndex())
        peer->recordAccepted(response.matchIndex, response.receivedIndex);
    peer->recordHeartbeat(response.round, response.receivedIndex);
    replicate(from, *peer);
    advanceCommit();
    advanceTransfer();
}

void Node::Machine::handle(Core::HostName const& from, Term, AppendResponse const& response)
{
    auto* peer = progressOf(from);
    if (!peer)
        return;
    if (response.round > round_ || response.receivedIndex > log_.lastIndex() || response.matchIndex > log_.lastIndex())
        return refuse(from, MessageRefusal::Malformed);
    recordContact(*peer, response.round);
    switch (response.outcome) {
    case AppendOutcome::DataLost:
        peer->markDataLost();
        return refuse(from, MessageRefusal::VoterLostData);
    case AppendOutcome::Mismatch:
        peer->recordMismatch(response.rejectedIndex, log_.lastIndexWithTermUpTo(response.hintIndex, response.hintTerm));
        break;
    case AppendOutcome::Accepted:
        peer->recordAccepted(response.matchIndex, response.receivedIndex);
        break;
    }
    replicate(from, *peer);
    advanceCommit();
    advanceTransfer();
}

void Node::Machine::handle(Core::HostName const& from, Term, SnapshotResponse const& response)
{
    auto* peer = progressOf(from);
    if (!peer)
        return;
    if (response.round > round_)
        return refuse(from, MessageRefusal::Malformed);
    recordContact(*peer, response.round);
    if (peer->state() != PeerState::Snapshot)
        return;
    auto& transfer = peer->snapshotTransfer();
    if (transfer.snapshot.metadata.index != response.snapshotIndex)
        return;
    transfer.offset = std::min(response.nextOffset, transfer.snapshot.metadata.size);
    // After the last byte, the receiver acknowledges the snapshot once it is durable. Until then, an empty chunk is
    // sent again after each later heartbeat response, in case the acknowledgment was lost.
    if (transfer.offset == transfer.snapshot.metadata.size)
        transfer.sentInRound = round_;
    else
        transfer.sentInRound.reset();
    replicate(from, *peer);
}

void Node::Machine::replicateToAll()
{
    for (auto& [host, peer] : peers_)
        replicate(host, peer);
}

void Node::Machine::replicate(Core::HostName const& host, Progress& peer)
{
    if (peer.hasLostData())
        return;
    while (peer.canSendAppend(log_.lastIndex(), settings_))
        sendAppend(host, peer);
    if (peer.state() == PeerState::Snapshot && !peer.snapshotTransfer().sentInRound)
        sendChunk(host, peer);
}

void Node::Machine::sendAppend(Core::HostName const& host, Progress& peer)
{
    LogIndex const previous { peer.nextIndex().value - 1 };
    auto const previousTerm = log_.termAt(previous);
    if (!previousTerm) {
        peer.beginSnapshot(*snapshot_);
        return;
    }
    AppendRequest request {
        .round = round_,
        .previousIndex = previous,
        .previousTerm = *previousTerm,
        .commitIndex = commitIndex_,
        .isReceiverVoter = configurations_.current().isVoter(host),
        .entries = log_.slice(peer.nextIndex(), settings_.maxBytesPerAppend),
    };
    peer.recordSent(request.entries, round_);
    send(host, std::move(request));
}

void Node::Machine::sendChunk(Core::HostName const& host, Progress& peer)
{
    auto& transfer = peer.snapshotTransfer();
    SnapshotChunk chunk {
        .round = round_,
        .metadata = transfer.snapshot.metadata,
        .isReceiverVoter = configurations_.current().isVoter(host),
        .offset = transfer.offset,
        .data = transfer.snapshot.data->substr(transfer.offset, settings_.snapshotChunkBytes),
    };
    transfer.sentInRound = round_;
    send(host, std::move(chunk));
}

void Node::Machine::advanceCommit()
{
    if (role_ != Role::Leader)
        return;
    auto const majorityIndex
        = quorumValue(durability_.durableIndex(), [](Progress const& peer) { return peer.matchIndex(); });
    // Entries of earlier terms are committed only by committing an entry of the current term: a later leader could
    // replace them even though a majority has them.
    if (majorityIndex <= commitIndex_ || log_.termAt(majorityIndex) != term_)
        return;
    commitTo(majorityIndex);
    if (!isVoter() && configurations_.currentIndex() <= commitIndex_)
        handOverLeadership();
}

/// Steps down at once, and asks the most up-to-date voter to take over without waiting for its election timeout.
void Node::Machine::handOverLeadership()
{
    if (auto const successor = mostUpToDateVoter())
        send(*successor, TimeoutNow {});
    becomeFollower(term_, std::nullopt);
}

std::optional<Core::HostName> Node::Machine::mostUpToDateVoter() const
{
    std::optional<Core::HostName> best;
    LogIndex bestMatch;
    for (auto const& [host, peer] : peers_) {
        auto const isAlive = now_ - peer.lastContactAt() <= settings_.electionTimeoutMin;
        if (!configurations_.current().isVoter(host) || !isAlive || (best && peer.matchIndex() <= bestMatch))
            continue;
        best = host;
        bestMatch = peer.matchIndex();
    }
    return best;
}

void Node::Machine::handle(RequestTransfer const& event)
{
    if (role_ != Role::Leader) {
        actions_.transfer = TransferOutcome::NotLeader;
        return;
    }
    if (leadershipTransfer_)
        return;
    auto const target = event.target ? event.target : mostUpToDateVoter();
    if (!target || *target == settings_.host || !configurations_.current().isVoter(*target)) {
        actions_.transfer = TransferOutcome::NoTarget;
        return;
    }
    leadershipTransfer_ = LeadershipTransfer { *target, now_ + settings_.electionTimeoutMax };
    advanceTransfer();
}

void Node::Machine::advanceTransfer()
{
    if (role_ != Role::Leader || !leadershipTransfer_ || leadershipTransfer_->isSent)
        return;
    auto const* peer = progressOf(leadershipTransfer_->target);
    if (!peer || peer->matchIndex() < log_.lastIndex())
        return;
    leadershipTransfer_->isSent = true;
    send(leadershipTransfer_->target, TimeoutNow {});
}

} // namespace Consensus
