#include <LibConsensus/Machine.h>

namespace Consensus {

namespace {

    bool isSound(AppendRequest const& request, Term term)
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
    if (isBlank() && request.isReceiverVoter)
        return answerDataLost();
    lastRound_ = std::max(lastRound_, request.round);
    // The leader sends no commit index beyond what this host acknowledged, so these entries are equal to its own.
    if (request.commitIndex <= log_.lastIndex())
        commitTo(request.commitIndex);
    auto const match = std::min(verified_, durability_.durableIndex());
    send(from, HeartbeatResponse { request.round, match, verified_ });
}

void Node::Machine::handle(Core::HostName const& from, Term term, AppendRequest& request)
{
    if (!isSound(request, term))
        return refuse(from, MessageRefusal::Malformed);
    acceptLeader(from);
    lastRound_ = std::max(lastRound_, request.round);
    if (isBlank() && request.isReceiverVoter)
        return answerDataLost();
    auto const lastNew = LogIndex { request.previousIndex.value + request.entries.size() };
    // Committed entries are equal to the leader's; only what follows them has to be looked at.
    auto const isMatch
        = request.previousIndex <= commitIndex_ || log_.termAt(request.previousIndex) == request.previousTerm;
    if (!isMatch)
        return answerMismatch(request);
    appendFromLeader(request.entries);
    if (role_ == Role::Halted)
        return;
    verified_ = std::max({ verified_, lastNew, commitIndex_ });
    commitTo(std::max(commitIndex_, std::min(request.commitIndex, lastNew)));
    acknowledge();
}

void Node::Machine::appendFromLeader(std::vector<LogEntry>& entries)
{
    auto const firstNew = std::ranges::find_if(entries,
        [this](auto const& entry) { return entry.index > commitIndex_ && log_.termAt(entry.index) != entry.term; });
    // An entry that is committed here cannot differ at the leader. Going on would spread the damage.
    auto const isContradiction = std::ranges::any_of(entries, [this](auto const& entry) {
        auto const term = log_.termAt(entry.index);
        return entry.index <= commitIndex_ && term && *term != entry.term;
    });
    if (isContradiction)
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
    auto const match = std::min(verified_, durability_.durableIndex());
    lastAcknowledged_ = std::max(lastAcknowledged_, match);
    send(*leader_, AppendResponse { .round = lastRound_, .matchIndex = match, .receivedIndex = verified_ });
}

void Node::Machine::answerDataLost()
{
    // Without a round: this answer must not count as a sign of life of a voter, since the host has forgotten its term.
    refuse(settings_.host, MessageRefusal::VoterLostData);
    send(*leader_, AppendResponse { .outcome = AppendOutcome::DataLost });
}

void Node::Machine::answerMismatch(AppendRequest const& request)
{
    auto const hint = log_.lastIndexWithTermUpTo(request.previousIndex, request.previousTerm);
    send(*leader_,
        AppendResponse {
            .round = request.round,
            .outcome = AppendOutcome::Mismatch,
            .matchIndex = std::min(verified_, durability_.durableIndex()),
            .receivedIndex = verified_,
            .rejectedIndex = request.previousIndex,
            .hintIndex = hint,
            .hintTerm = log_.termAt(hint).value_or(Term {}),
        });
}

void Node::Machine::handle(Core::HostName const& from, Term, SnapshotChunk const& chunk)
{
    acceptLeader(from);
    lastRound_ = std::max(lastRound_, chunk.round);
    if (isBlank() && chunk.isReceiverVoter)
        return answerDataLost();
    if (chunk.metadata.index <= commitIndex_) {
        verified_ = std::max(verified_, commitIndex_);
        return acknowledge();
    }
    auto const held = receiver_.add(chunk);
    auto snapshot = receiver_.takeComplete();
    auto const isDamaged = !snapshot && held == chunk.metadata.size;
    send(from, SnapshotResponse { chunk.round, chunk.metadata.index, isDamaged ? 0 : held });
    if (snapshot)
        install(std::move(*snapshot));
}

void Node::Machine::install(Snapshot snapshot)
{
    auto const& metadata = snapshot.metadata;
    // Entries after the snapshot are kept when the log contains its last entry.
    auto const keepsLog = log_.termAt(metadata.index) == metadata.term;
    proposals_.giveUpTo(metadata.index, actions_.proposals);
    commitIndex_ = metadata.index;
    verified_ = std::max(verified_, metadata.index);
    if (keepsLog) {
        log_.compactTo(metadata.index);
        configurations_.compactTo(metadata.index);
    } else {
        log_.reset(metadata.index, metadata.term);
        durability_.truncateFrom(LogIndex { 1 });
        configurations_ = { metadata.configurationIndex, metadata.configuration };
        actions_.configuration = configurations_.current();
    }
    // Entries that this step committed are part of the snapshot.
    actions_.committed.clear();
    actions_.restore = snapshot;
    snapshot_ = snapshot;
    persist({ .snapshot = std::move(snapshot), .discardsLog = !keepsLog });
}

} // namespace Consensus
