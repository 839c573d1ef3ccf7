#include <LibConsensus/Progress.h>

#include <algorithm>

namespace Consensus {

void Progress::recordContact(Round round, std::optional<Core::TimePoint> startedAt)
{
    ackedRound_ = std::max(ackedRound_, round);
    if (startedAt)
        contactAt_ = std::max(contactAt_, *startedAt);
}

void Progress::recordAccepted(LogIndex match, LogIndex received)
{
    match_ = std::max(match_, match);
    auto const known = std::max(match_, received);
    if (state_ == PeerState::Snapshot) {
        if (match_ < transfer_->snapshot.metadata.index)
            return;
        transfer_.reset();
        state_ = PeerState::Replicate;
        next_ = known.next();
    } else if (state_ == PeerState::Probe) {
        state_ = PeerState::Replicate;
        next_ = known.next();
    }
    next_ = std::max(next_, known.next());
    while (!inFlight_.empty() && inFlight_.front().lastIndex <= match_) {
        bytesInFlight_ -= inFlight_.front().bytes;
        inFlight_.pop_front();
    }
}

void Progress::recordMismatch(LogIndex rejected, LogIndex candidate)
{
    // Durable entries of the peer match, so a lower rejection is an old message, or the peer lost its data.
    if (state_ == PeerState::Snapshot || rejected <= match_)
        return;
    if (state_ == PeerState::Probe && rejected.next() != next_)
        return;
    enterProbe(std::max(match_.next(), std::min(candidate.next(), rejected)));
}

void Progress::recordHeartbeat(Round round, LogIndex received)
{
    switch (state_) {
    case PeerState::Probe:
        if (probeSentIn_ && *probeSentIn_ < round)
            probeSentIn_.reset();
        return;
    case PeerState::Replicate: {
        auto const known = std::max(match_, received);
        auto const isLost = std::ranges::any_of(
            inFlight_, [&](auto const& append) { return append.lastIndex > known && append.round < round; });
        if (isLost)
            enterProbe(known.next());
        return;
    }
    case PeerState::Snapshot:
        if (transfer_->sentIn && *transfer_->sentIn < round)
            transfer_->sentIn.reset();
        return;
    }
}

bool Progress::maySend(LogIndex lastIndex, Settings const& settings) const
{
    switch (state_) {
    case PeerState::Probe:
        return !probeSentIn_ && match_ < lastIndex;
    case PeerState::Replicate:
        return next_ <= lastIndex && inFlight_.size() < settings.maxAppendsInFlight
            && bytesInFlight_ < settings.maxBytesInFlight;
    case PeerState::Snapshot:
        return false;
    }
    return false;
}

void Progress::recordSent(std::vector<LogEntry> const& entries, Round round)
{
    if (state_ == PeerState::Probe) {
        probeSentIn_ = round;
        return;
    }
    if (entries.empty())
        return;
    InFlight append { entries.back().index, 0, round };
    for (auto const& entry : entries)
        append.bytes += flowBytes(entry);
    bytesInFlight_ += append.bytes;
    next_ = append.lastIndex.next();
    inFlight_.push_back(append);
}

void Progress::beginSnapshot(Snapshot snapshot)
{
    enterProbe(next_);
    state_ = PeerState::Snapshot;
    transfer_ = Transfer { std::move(snapshot), 0, std::nullopt };
}

void Progress::enterProbe(LogIndex next)
{
    state_ = PeerState::Probe;
    next_ = next;
    probeSentIn_.reset();
    inFlight_.clear();
    bytesInFlight_ = 0;
}

} // namespace Consensus
