#include <LibControl/Ledger.h>

namespace Control {

namespace {

    /// Number by which obsolete queue entries may exceed the records before they are dropped.
    constexpr std::size_t obsoleteSlack = 1024;

} // namespace

std::size_t OrderKeyHash::operator()(OrderKey const& key) const
{
    return Core::hash64(key.idempotencyKey, Core::hash64(key.caller.value, Core::hash64(key.route.value)));
}

ClaimOutcome Ledger::claim(ClaimOrder const& claim, Core::Duration now)
{
    OrderRecord const record { claim.fingerprint, claim.requestId, claim.host, claim.incarnation, OrderPhase::Claimed,
        now, std::nullopt };
    auto const* known = find(claim.key);
    if (!known) {
        if (records_.size() >= limits_.maxRecords)
            return LedgerFull {};
        put(claim.key, record);
        return OrderClaimed {};
    }
    auto const isSameAttempt = known->requestId == claim.requestId;
    if (known->phase == OrderPhase::Abandoned) {
        if (isSameAttempt)
            return OrderAbandoned {};
        put(claim.key, record);
        return OrderClaimed {};
    }
    if (known->fingerprint != claim.fingerprint)
        return OrderMismatch {};
    if (known->phase == OrderPhase::Completed)
        return OrderCompleted { known->answer };
    if (known->phase == OrderPhase::Unknown)
        return OrderUnknown {};
    // An entry host that did not receive the response to its claim repeats the claim with the same request id.
    auto const isOwnClaim = isSameAttempt && known->host == claim.host && known->incarnation == claim.incarnation;
    return isOwnClaim ? ClaimOutcome(OrderClaimed {}) : ClaimOutcome(OrderInProgress {});
}

bool Ledger::complete(CompleteOrder const& command)
{
    auto* record = findAttempt(command.key, command.requestId);
    if (!record || record->phase == OrderPhase::Abandoned)
        return false;
    if (record->phase == OrderPhase::Completed)
        return true;
    closeClaim(command.key, *record, OrderPhase::Completed);
    auto const bytes = command.answer ? command.answer->body.size() : 0;
    if (command.answer && bytes <= maxKeptAnswerBytes && answerBytes_ + bytes <= limits_.maxAnswerBytes) {
        record->answer = command.answer;
        answerBytes_ += bytes;
    }
    return true;
}

bool Ledger::abandon(AbandonOrder const& command, Core::Duration now)
{
    auto const* known = find(command.key);
    OrderRecord record { {}, command.requestId, {}, {}, OrderPhase::Abandoned, now, std::nullopt };
    if (!known) {
        // The claim may still be in transit. Without this record it would claim the order for an attempt that has
        // ended.
        if (records_.size() < limits_.maxRecords)
            put(command.key, record);
        return false;
    }
    if (known->requestId != command.requestId)
        return false;
    if (known->phase != OrderPhase::Claimed)
        return known->phase == OrderPhase::Abandoned;
    record.fingerprint = known->fingerprint;
    put(command.key, record);
    return true;
}

bool Ledger::markUnknown(MarkOrderUnknown const& command)
{
    auto* record = findAttempt(command.key, command.requestId);
    if (!record || record->phase == OrderPhase::Completed || record->phase == OrderPhase::Abandoned)
        return false;
    closeClaim(command.key, *record, OrderPhase::Unknown);
    return true;
}

void Ledger::markUnknownClaimsOf(Core::HostName const& host)
{
    auto const found = openClaims_.find(host);
    if (found == openClaims_.end())
        return;
    for (auto const& key : found->second)
        records_.find(key)->second.record.phase = OrderPhase::Unknown;
    openClaims_.erase(found);
}

void Ledger::expire(Core::Duration now)
{
    expireQueue(order_, now - limits_.retention);
    expireQueue(abandoned_, now - limits_.abandonedRetention);
}

OrderRecord const* Ledger::find(OrderKey const& key) const
{
    auto const found = records_.find(key);
    return found == records_.end() ? nullptr : &found->second.record;
}

bool Ledger::restoreRecord(OrderKey const& key, OrderRecord record)
{
    if (records_.contains(key))
        return false;
    put(key, std::move(record));
    return true;
}

void Ledger::put(OrderKey const& key, OrderRecord record)
{
    if (auto const found = records_.find(key); found != records_.end())
        erase(found);
    dropObsolete();
    OrderedKey const ordered { key, nextSequence_++, record.recordedAt };
    order_.push_back(ordered);
    if (record.phase == OrderPhase::Abandoned)
        abandoned_.push_back(ordered);
    if (record.phase == OrderPhase::Claimed)
        openClaims_[record.host].insert(key);
    answerBytes_ += record.answer ? record.answer->body.size() : 0;
    records_.emplace(key, Entry { std::move(record), ordered.sequence });
}

void Ledger::erase(Records::iterator found)
{
    auto& record = found->second.record;
    closeClaim(found->first, record, record.phase);
    answerBytes_ -= record.answer ? record.answer->body.size() : 0;
    records_.erase(found);
}

void Ledger::closeClaim(OrderKey const& key, OrderRecord& record, OrderPhase phase)
{
    auto const open = record.phase == OrderPhase::Claimed ? openClaims_.find(record.host) : openClaims_.end();
    if (open != openClaims_.end()) {
        open->second.erase(key);
        if (open->second.empty())
            openClaims_.erase(open);
    }
    record.phase = phase;
}

OrderRecord* Ledger::findAttempt(OrderKey const& key, Core::RequestId requestId)
{
    auto const found = records_.find(key);
    return found != records_.end() && found->second.record.requestId == requestId ? &found->second.record : nullptr;
}

void Ledger::dropObsolete()
{
    if (order_.size() <= 2 * records_.size() + obsoleteSlack)
        return;
    std::erase_if(order_, [&](OrderedKey const& entry) {
        auto const found = records_.find(entry.key);
        return found == records_.end() || found->second.sequence != entry.sequence;
    });
}

void Ledger::expireQueue(std::deque<OrderedKey>& queue, Core::Duration before)
{
    while (!queue.empty() && queue.front().recordedAt <= before) {
        auto const found = records_.find(queue.front().key);
        if (found != records_.end() && found->second.sequence == queue.front().sequence)
            erase(found);
        queue.pop_front();
    }
}

} // namespace Control
