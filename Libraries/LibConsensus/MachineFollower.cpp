#include <LibConsensus/Machine.h>

namespace Consensus {

namespace {

    bool isConsistent(AppendRequest const& request, Term term)
    {
        auto previousIndex = request.previousIndex;
        auto previousTerm = request.previousTerm;
        for (auto const& entry : request.entries) {
            if (entry.index != previousIndex.next() || entry.term < previousTerm || entry.term > term)
                return false;
            previousIndex = entry.index;
            previousTerm = entry.term;
        }
        return previousTerm <= term;
    }

} // namespace

void Node::Machine::acceptLeader(Core::HostName const& leader)
{
    if (role_ != Role::Follower)
        becomeFollower(term_, leader);
    leader_ = leader;
    lastLeaderContact_ = now_;
    resetElectionTimer();
}

void Node::Machine::handle(Core::HostName const& from, Term, Heartbeat const& request)
{
    acceptLeader(from);
    if (hasNoData() && request.isReceiverVoter)
        return respondDataLost();
    lastLeaderRound_ = std::max(lastLeaderRound_, request.round);
    // The leader limits this commit index to entries that this host has acknowledged, so the entries match its own.
    if (request.commitIndex <= log_.lastIndex())
        commitTo(request.commitIndex);
    auto const match = std::min(verifiedIndex_, durability_.durableIndex());
    send(from, HeartbeatResponse { request.round, match, verifiedIndex_ });
}

void Node::Machine::handle(Core::HostName const& from, Term term, AppendRequest& request)
{
    if (!isConsistent(request, term))
        return refuse(from, MessageRefusal::Malformed);
    acceptLeader(from);
    lastLeaderRound_ = std::max(lastLeaderRound_, request.round);
    if (hasNoData() && request.isReceiverVoter)
        return respondDataLost();
    auto const lastNew = LogIndex { request.previousIndex.value + request.entries.size() };
    // Committed entries always match the leader's, so only the entries after them need to be checked.
    auto const isMatch
        = request.previousIndex <= commitIndex_ || log_.termAt(request.previousIndex) == request.previousTerm;
    if (!isMatch)
        return respondMismatch(request);
    appendFromLeader(request.entries);
    if (role_ == Role::Halted)
        return;
    verifiedIndex_ = std::max({ verifiedIndex_, lastNew, commitIndex_ });
    commitTo(std::max(commitIndex_, std::min(request.commitIndex, lastNew)));
    acknowledge();
}

void Node::Machine::appendFromLeader(std::vector<LogEntry>& entries)
{
    auto const firstNew = std::ranges::find_if(entries,
        [this](auto const& entry) { return entry.index > commitIndex_ && log_.termAt(entry.index) != entry.term; });
    // An entry that is committed on this host cannot differ from the leader's unless data is corrupt. The node halts,
    // because continuing could spread the corruption.
    auto const hasConflict = std::ranges::any_of(entries, [this](auto const& entry) {
        auto const term = log_.termAt(entry.index);
        return entry.index <= commitIndex_ && term && *term != entry.term;
    });
    if (hasConflict)
        return halt();
    if (firstNew == entries.end())
        return;
    auto const firstIndex = firstNew->index;
    if (firstIndex <= log_.lastIndex()) {
        log_.truncateFrom(firstIndex);
        durability_.truncateFrom(firstIndex);
        if (configurations_.currentIndex() >= firstIndex) {
            configurations_.truncateFrom(firstIndex);
            actions_.configuration = configurations_.current();
        }
    }
    PersistRequest request;
    request.entries.assign(std::make_move_iterator(firstNew), std::make_move_iterator(entries.end()));
    for (auto const& entry : request.entries) {
        log_.append(entry);
        if (auto const* configuration = std::get_if<Configuration>(&entry.content))
            changeConfiguration(entry.index, *configuration);
    }
    persist(std::move(request));
}

void Node::Machine::acknowledge()
{
    auto const match = std::min(verifiedIndex_, durability_.durableIndex());
    lastAcknowledgedIndex_ = std::max(lastAcknowledgedIndex_, match);
    send(*leader_, AppendResponse { .round = lastLeaderRound_, .matchIndex = match, .receivedIndex = verifiedIndex_ });
}

void Node::Machine::respondDataLost()
{
    // The response carries no round, so that the leader does not count it as contact with a voter: the host has lost
    // its term and vote.
    refuse(settings_.host, MessageRefusal::VoterLostData);
    send(*leader_, AppendResponse { .outcome = AppendOutcome::DataLost });
}

void Node::Machine::respondMismatch(AppendRequest const& request)
{
    auto const hint = log_.lastIndexWithTermUpTo(request.previousIndex, request.previousTerm);
    send(*leader_,
        AppendResponse {
            .round = request.round,
            .outcome = AppendOutcome::Mismatch,
            .matchIndex = std::min(verifiedIndex_, durability_.durableIndex()),
            .receivedIndex = verifiedIndex_,
            .rejectedIndex = request.previousIndex,
            .hintIndex = hint,
            .hintTerm = log_.termAt(hint).value_or(Term {}),
        });
}

void Node::Machine::handle(Core::HostName const& from, Term, SnapshotChunk const& chunk)
{
    acceptLeader(from);
    lastLeaderRound_ = std::max(lastLeaderRound_, chunk.round);
    if (hasNoData() && chunk.isReceiverVoter)
        return respondDataLost();
    if (chunk.metadata.index <= commitIndex_) {
        verifiedIndex_ = std::max(verifiedIndex_, commitIndex_);
        return acknowledge();
    }
    auto const held = snapshotReceiver_.add(chunk);
    auto snapshot = snapshotReceiver_.takeComplete();
    auto const isDamaged = !snapshot && held == chunk.metadata.size;
    send(from, SnapshotResponse { chunk.round, chunk.metadata.index, isDamaged ? 0 : held });
    if (snapshot)
        installSnapshot(std::move(*snapshot));
}

void Node::Machine::installSnapshot(Snapshot snapshot)
{
    auto const& metadata = snapshot.metadata;
    // Entries after the snapshot are kept if the log contains the last entry of the snapshot.
    auto const keepsLog = log_.termAt(metadata.index) == metadata.term;
    proposals_.markUnresolvedUpTo(metadata.index, actions_.proposals);
    commitIndex_ = metadata.index;
    verifiedIndex_ = std::max(verifiedIndex_, metadata.index);
    if (keepsLog) {
        log_.compactTo(metadata.index);
        configurations_.compactTo(metadata.index);
    } else {
        log_.reset(metadata.index, metadata.term);
        durability_.truncateFrom(LogIndex { 1 });
        configurations_ = { metadata.configurationIndex, metadata.configuration };
        actions_.configuration = configurations_.current();
    }
    // The snapshot includes all entries that this step committed.
    actions_.committed.clear();
    actions_.restore = snapshot;
    snapshot_ = snapshot;
    persist({ .snapshot = std::move(snapshot), .discardsLog = !keepsLog });
}

} // namespace Consensus
