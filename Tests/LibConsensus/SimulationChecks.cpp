#include "SimulatedState.h"
#include "Simulation.h"

#include <algorithm>
#include <limits>

namespace Test {

using namespace Consensus;

void Simulation::checkActions(Name const& name, Host& host, Actions const& actions)
{
    auto const& node = *host.node;
    for (auto const& request : actions.persist) {
        for (auto const& entry : request.entries) {
            auto const isFirst = &entry == &request.entries.front();
            auto const previous = isFirst ? node.termAt({ entry.index.value - 1 }) : std::optional((&entry - 1)->term);
            checkEntry(name, host, entry, previous);
        }
    }
    for (auto const& message : actions.messages)
        checkMessage(name, host, message);
    if (actions.roleChange && actions.roleChange->role == Role::Leader)
        checkNewLeader(name, host);
    if (node.role() == Role::Halted)
        recordViolation(concatenate(name, " received an entry that conflicts with a committed one"));
    if (actions.restore)
        checkRestored(name, host, *actions.restore);
    for (auto const& entry : actions.committed)
        checkCommitted(name, host, entry);
    checkAnswers(name, actions);
    if (actions.transfer)
        host.transfer = actions.transfer;
    for (auto const& refused : actions.refused)
        host.refusals.insert(refused.reason);
}

void Simulation::checkEntry(Name const& name, Host const&, LogEntry const& entry, std::optional<Term> previousTerm)
{
    auto const [found, isNew]
        = knownEntries_.try_emplace({ entry.index.value, entry.term }, KnownEntry { entry.content, previousTerm });
    if (isNew)
        return;
    if (found->second.content != entry.content || found->second.previousTerm != previousTerm)
        recordViolation(
            concatenate(name, " holds a different entry ", entry.index.value, " of term ", entry.term.value));
}

void Simulation::checkMessage(Name const& name, Host& host, Message const& message)
{
    if (message.term < host.highestSentTerm)
        recordViolation(
            concatenate(name, " decreased its term from ", host.highestSentTerm.value, " to ", message.term.value));
    host.highestSentTerm = message.term;

    std::optional<std::pair<Term, Name>> vote;
    if (auto const* request = std::get_if<VoteRequest>(&message.body); request && !request->isPreVote)
        vote = { request->electionTerm, name };
    if (auto const* response = std::get_if<VoteResponse>(&message.body); response && !response->isPreVote) {
        if (response->isGranted)
            vote = { response->electionTerm, message.to.value };
    }
    if (vote) {
        auto const [found, isNew] = votes_.try_emplace({ name, vote->first }, vote->second);
        if (found->second != vote->second)
            recordViolation(concatenate(name, " voted twice in term ", vote->first.value));
    }

    LogIndex acknowledged;
    if (auto const* response = std::get_if<AppendResponse>(&message.body))
        acknowledged = response->matchIndex;
    if (auto const* response = std::get_if<HeartbeatResponse>(&message.body))
        acknowledged = response->matchIndex;
    if (acknowledged.value > host.durable.lastIndex())
        recordViolation(concatenate(name, " acknowledged entry ", acknowledged.value,
            ", but its last durable entry is ", host.durable.lastIndex()));
}

void Simulation::checkNewLeader(Name const& name, Host const& host)
{
    auto const term = host.node->term();
    auto const [found, isNew] = leaders_.try_emplace(term, name, host.generation);
    if (found->second != std::pair(name, host.generation))
        recordViolation(concatenate("term ", term.value, " has two leaders, ", found->second.first, " and ", name));
    for (auto const& committed : committed_) {
        auto const index = committed.entry.index;
        if (committed.committedIn >= term || index.next() < host.node->status().firstIndex)
            continue;
        if (host.node->termAt(index) != committed.entry.term)
            recordViolation(
                concatenate("leader ", name, " of term ", term.value, " does not have committed entry ", index.value));
    }
}

void Simulation::checkCommitted(Name const& name, Host& host, LogEntry const& entry)
{
    if (entry.index.value != host.appliedIndex + 1)
        recordViolation(concatenate(name, " applies entry ", entry.index.value, " after ", host.appliedIndex));
    host.appliedIndex = entry.index.value;
    auto const* command = std::get_if<Command>(&entry.content);
    if (command)
        host.tokens.push_back(tokenOf(command->payload.view()));

    if (entry.index.value <= committed_.size()) {
        if (committed_[entry.index.value - 1].entry != entry)
            recordViolation(concatenate(name, " commits a different entry ", entry.index.value));
        return;
    }
    if (entry.index.value != committed_.size() + 1)
        recordViolation(concatenate(name, " commits entry ", entry.index.value, " before its predecessors"));
    checkDurableAtMajority(name, host, entry);
    if (command) {
        auto const token = tokenOf(command->payload.view());
        committedTokens_.push_back(token);
        if (!committedTokenSet_.insert(token).second)
            recordViolation(concatenate("proposal ", token, " is committed twice"));
        if (refusedTokens_.contains(token))
            recordViolation(concatenate("rejected proposal ", token, " is committed"));
    }
    committed_.push_back({ entry, host.node->term(), committedTokens_.size() });
}

void Simulation::checkDurableAtMajority(Name const& name, Host const& host, LogEntry const& entry)
{
    auto const configuration = host.node->status().configuration;
    std::size_t count = 0;
    for (auto const& voter : configuration.voters) {
        auto const found = hosts_.find(voter.name.value);
        if (found == hosts_.end())
            continue;
        auto const& durable = found->second.durable;
        auto const stored = durable.entries.find(entry.index.value);
        auto const isStored = stored != durable.entries.end() && stored->second == entry.term;
        if (isStored || durable.snapshotIndex >= entry.index.value)
            ++count;
    }
    if (count < configuration.quorum())
        recordViolation(concatenate(name, " commits entry ", entry.index.value, ", durable at ", count, " voters"));
}

void Simulation::checkRestored(Name const& name, Host& host, Snapshot const& snapshot)
{
    ++host.restores;
    auto const index = snapshot.metadata.index.value;
    host.tokens = tokensOf(*snapshot.data);
    host.appliedIndex = index;
    if (index > committed_.size())
        return recordViolation(concatenate(name, " restores a snapshot beyond the last committed entry"));
    auto const& last = committed_[index - 1];
    auto const isSame = last.entry.term == snapshot.metadata.term && last.commands == host.tokens.size()
        && std::equal(host.tokens.begin(), host.tokens.end(), committedTokens_.begin());
    if (!isSame)
        recordViolation(concatenate(name, " restores a snapshot that differs from the committed entries"));
}

void Simulation::checkRecovered(Name const& name, Host& host, RecoveredState const& state)
{
    DurableState recovered;
    recovered.hardState = state.hardState;
    recovered.snapshotIndex = state.snapshot ? state.snapshot->metadata.index.value : 0;
    for (auto const& entry : state.entries)
        recovered.entries[entry.index.value] = entry.term;
    auto const uncertainFrom = host.uncertainFrom.value_or(std::numeric_limits<std::uint64_t>::max());
    for (auto const& [index, term] : host.durable.entries) {
        if (index <= recovered.snapshotIndex || index >= uncertainFrom)
            continue;
        auto const found = recovered.entries.find(index);
        if (found == recovered.entries.end() || found->second != term)
            recordViolation(concatenate(name, " lost durable entry ", index));
    }
    if (recovered.hardState.term < host.durable.hardState.term
        || (!host.uncertainFrom && recovered.hardState != host.durable.hardState))
        recordViolation(concatenate(name, " lost its term or vote"));
    if (recovered.snapshotIndex < host.durable.snapshotIndex)
        recordViolation(concatenate(name, " lost its snapshot"));
    // Otherwise the next rewrite of the store makes it durable.
    if (state.isDurable) {
        host.durable = std::move(recovered);
        host.uncertainFrom.reset();
    }
}

void Simulation::checkAnswers(Name const& name, Actions const& actions)
{
    for (auto const& [token, outcome] : actions.proposals) {
        if (!outcomes_.try_emplace(token.value, outcome).second)
            recordViolation(concatenate("proposal ", token.value, " is answered twice"));
        if (auto const* committed = std::get_if<Committed>(&outcome)) {
            if (committed->index.value > committed_.size()
                || committed_[committed->index.value - 1].entry.term != committed->term)
                recordViolation(concatenate("proposal ", token.value, " is acknowledged but not committed"));
            acknowledged_.insert(token.value);
            acknowledgedIndex_ = std::max(acknowledgedIndex_, committed->index.value);
        } else if (!std::holds_alternative<Unresolved>(outcome)) {
            refusedTokens_.insert(token.value);
            if (committedTokenSet_.contains(token.value))
                recordViolation(concatenate("proposal ", token.value, " is rejected and committed"));
        }
    }
    for (auto const& [token, outcome] : actions.reads) {
        if (!reads_.try_emplace(token.value, outcome).second)
            recordViolation(concatenate("read ", token.value, " is answered twice"));
        auto const* ready = std::get_if<ReadReady>(&outcome);
        if (ready && ready->index.value < minReadIndexes_.at(token.value))
            recordViolation(concatenate(name, " answers a read at ", ready->index.value, " although ",
                minReadIndexes_.at(token.value), " was acknowledged before"));
    }
}

} // namespace Test
