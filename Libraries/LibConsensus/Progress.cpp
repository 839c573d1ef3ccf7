#include <LibConsensus/Progress.h>

#include <algorithm>

namespace Consensus {

void Progress::recordContact(Round round, std::optional<Core::TimePoint> startedAt)
{
    ackedRound_ = std::max(ackedRound_, round);
    if (startedAt)
        lastContactAt_ = std::max(lastContactAt_, *startedAt);
}

void Progress::recordAccepted(LogIndex match, LogIndex received)
{
    matchIndex_ = std::max(matchIndex_, match);
    auto const known = std::max(matchIndex_, received);
    if (state_ == PeerState::Snapshot) {
        if (matchIndex_ < snapshotTransfer_->snapshot.metadata.index)
            return;
        snapshotTransfer_.reset();
        state_ = PeerState::Replicate;
        nextIndex_ = known.next();
    } else if (state_ == PeerState::Probe) {
        state_ = PeerState::Replicate;
        nextIndex_ = known.next();
    }
    nextIndex_ = std::max(nextIndex_, known.next());
    while (!inFlight_.empty() && inFlight_.front().lastIndex <= matchIndex_) {
        bytesInFlight_ -= inFlight_.front().bytes;
        inFlight_.pop_front();
    }
}

void Progress::recordMismatch(LogIndex rejected, LogIndex possibleMatch)
{
    // The peer's durable entries match the leader's, so a rejection at a lower index is an old message, or the peer
    // lost its data.
    if (state_ == PeerState::Snapshot || rejected <= matchIndex_)
        return;
    if (state_ == PeerState::Probe && rejected.next() != nextIndex_)
        return;
    enterProbe(std::max(matchIndex_.next(), std::min(possibleMatch.next(), rejected)));
}

void Progress::recordHeartbeat(Round round, LogIndex received)
{
    switch (state_) {
    case PeerState::Probe:
        if (probeSentInRound_ && *probeSentInRound_ < round)
            probeSentInRound_.reset();
        return;
    case PeerState::Replicate: {
        auto const known = std::max(matchIndex_, received);
        auto const isLost = std::ranges::any_of(
            inFlight_, [&](auto const& append) { return append.lastIndex > known && append.round < round; });
        if (isLost)
            enterProbe(known.next());
        return;
    }
    case PeerState::Snapshot:
        if (snapshotTransfer_->sentInRound && *snapshotTransfer_->sentInRound < round)
            snapshotTransfer_->sentInRound.reset();
        return;
    }
}

bool Progress::canSendAppend(LogIndex lastIndex, Settings const& settings) const
{
    switch (state_) {
    case PeerState::Probe:
        return !probeSentInRound_ && matchIndex_ < lastIndex;
    case PeerState::Replicate:
        return nextIndex_ <= lastIndex && inFlight_.size() < settings.maxAppendsInFlight
            && bytesInFlight_ < settings.maxBytesInFlight;
    case PeerState::Snapshot:
        return false;
    }
    return false;
}

void Progress::recordSent(std::vector<LogEntry> const& entries, Round round)
{
    if (state_ == PeerState::Probe) {
        probeSentInRound_ = round;
        return;
    }
    if (entries.empty())
        return;
    InFlight append { entries.back().index, 0, round };
    for (auto const& entry : entries)
        append.bytes += flowControlBytes(entry);
    bytesInFlight_ += append.bytes;
    nextIndex_ = append.lastIndex.next();
    inFlight_.push_back(append);
}

void Progress::beginSnapshot(Snapshot snapshot)
{
    enterProbe(nextIndex_);
    state_ = PeerState::Snapshot;
    snapshotTransfer_ = SnapshotTransfer { std::move(snapshot), 0, std::nullopt };
}

void Progress::enterProbe(LogIndex next)
{
    state_ = PeerState::Probe;
    nextIndex_ = next;
    probeSentInRound_.reset();
    inFlight_.clear();
    bytesInFlight_ = 0;
}

} // namespace Consensus
