#include <LibConsensus/Machine.h>

namespace Consensus {

Node::Node(Settings settings, RecoveredState state, std::uint64_t seed, Core::TimePoint now)
    : machine_(std::make_unique<Machine>(std::move(settings), std::move(state), seed, now))
{
}

Node::~Node() = default;
Node::Node(Node&&) noexcept = default;
Node& Node::operator=(Node&&) noexcept = default;

Actions Node::step(Core::TimePoint now, Event event) { return machine_->step(now, std::move(event)); }

Status Node::status() const { return machine_->status(); }
Role Node::role() const { return machine_->role(); }
Term Node::term() const { return machine_->term(); }
LogIndex Node::commitIndex() const { return machine_->commitIndex(); }
LogIndex Node::lastIndex() const { return machine_->log().lastIndex(); }
bool Node::isStorageSound() const { return machine_->isStorageSound(); }
std::optional<Term> Node::termAt(LogIndex index) const { return machine_->log().termAt(index); }
std::optional<Core::TimePoint> Node::authorityUntil() const { return machine_->authorityUntil(); }

} // namespace Consensus
