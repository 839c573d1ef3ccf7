#include <LibControl/EditLog.h>

#include <algorithm>

namespace Control {

namespace {

    using Routing::PoolDefinition;
    using Routing::RouteDefinition;

    /// Serializes the fields of an edit, texts with their length, as input of its digest. The wire encoding of commands
    /// is not used: it may change between versions, and replicas of different versions must compute the same digest.
    class DigestInput {
    public:
        void add(std::string_view text)
        {
            add(text.size());
            text_ += text;
        }
        void add(std::uint64_t number)
        {
            text_ += std::to_string(number);
            text_ += ':';
        }
        void add(PoolDefinition const& pool)
        {
            add(pool.name.value);
            add(static_cast<std::uint64_t>(pool.kind));
            add(pool.slotCount);
            add(pool.dispatchGroups);
        }
        void add(RouteDefinition const& route)
        {
            add(route.name.value);
            add(route.pool.value);
            add(route.host);
            add(route.methods.size());
            for (auto const& method : route.methods)
                add(method);
            add(route.pathPrefix);
            add(route.header ? 1U : 0U);
            if (route.header) {
                add(route.header->name);
                add(route.header->value);
            }
            add(route.key.index());
            std::visit(Core::Overloaded {
                           [](Routing::NoKey const&) {},
                           [&](Routing::KeyFromPathSegment const& key) { add(key.index); },
                           [&](Routing::KeyFromQuery const& key) { add(key.parameter); },
                           [&](Routing::KeyFromHeader const& key) { add(key.header); },
                       },
                route.key);
            add(static_cast<std::uint64_t>(route.requestClass));
            add(static_cast<std::uint64_t>(route.priority));
            add(static_cast<std::uint64_t>(route.deadline.count()));
            add(route.maxBodyBytes);
        }
        void add(EditOperation const& operation)
        {
            add(operation.index());
            std::visit(Core::Overloaded {
                           [&](PutPool const& put) {
                               add(put.pool);
                               add(put.replace ? 1U : 0U);
                           },
                           [&](RemovePool const& remove) { add(remove.pool.value); },
                           [&](PutRoute const& put) {
                               add(put.route);
                               add(put.replace ? 1U : 0U);
                           },
                           [&](RemoveRoute const& remove) { add(remove.route.value); },
                       },
                operation);
        }
        template <typename T> void addAll(std::vector<T> const& items)
        {
            add(items.size());
            for (auto const& item : items)
                add(item);
        }
        Core::Digest digest() const { return Core::digest128(text_); }

    private:
        std::string text_;
    };

    Core::Digest contentDigest(SubmitEdit const& edit)
    {
        DigestInput input;
        input.add(edit.baseRevision.value);
        input.add(edit.content.index());
        std::visit(Core::Overloaded {
                       [&](CompleteTables const& tables) {
                           input.addAll(tables.pools);
                           input.addAll(tables.routes);
                       },
                       [&](std::vector<EditOperation> const& operations) { input.addAll(operations); },
                   },
            edit.content);
        return input.digest();
    }

    EditProblem toProblem(Routing::TableError const& error)
    {
        using Kind = EditProblemKind;
        return std::visit(
            Core::Overloaded {
                [](Routing::RouteToMissingPool const& e) {
                    return EditProblem { Kind::RouteToMissingPool, e.route.value, e.pool.value };
                },
                [](Routing::DuplicatePool const& e) {
                    return EditProblem { Kind::DuplicatePool, e.pool.value, {} };
                },
                [](Routing::DuplicateRoute const& e) {
                    return EditProblem { Kind::DuplicateRoute, e.route.value, {} };
                },
                [](Routing::OverlappingRoutes const& e) {
                    return EditProblem { Kind::OverlappingRoutes, e.first.value, e.second.value };
                },
                [](Routing::KeySourceMismatch const& e) {
                    return EditProblem { Kind::KeySourceMismatch, e.route.value, e.pool.value };
                },
                [](Routing::SlotCountOutOfRange const& e) {
                    return EditProblem { Kind::SlotCountOutOfRange, e.pool.value, std::to_string(e.slotCount) };
                },
                [](Routing::InvalidPathPrefix const& e) {
                    return EditProblem { Kind::InvalidPathPrefix, e.route.value, e.prefix };
                },
            },
            error);
    }

    /// Adds `item` to `items`, or replaces the item with the same name if `replace` is set. Appends a problem of kind
    /// `missing` when there is nothing to replace, and of kind `exists` when the name is taken.
    template <typename T>
    void put(std::vector<T>& items, T const& item, bool replace, EditProblemKind missing, EditProblemKind exists,
        std::vector<EditProblem>& problems)
    {
        auto const found = std::ranges::find(items, item.name, &T::name);
        if (found == items.end() && replace)
            problems.push_back({ missing, item.name.value, {} });
        else if (found == items.end())
            items.push_back(item);
        else if (!replace)
            problems.push_back({ exists, item.name.value, {} });
        else
            *found = item;
    }

    template <typename T, typename N>
    void remove(std::vector<T>& items, N const& name, EditProblemKind missing, std::vector<EditProblem>& problems)
    {
        if (std::erase_if(items, [&](T const& item) { return item.name == name; }) == 0)
            problems.push_back({ missing, name.value, {} });
    }

    CompleteTables applyOperations(Routing::RoutingTable const& table, std::vector<EditOperation> const& operations,
        std::vector<EditProblem>& problems)
    {
        using Kind = EditProblemKind;
        CompleteTables tables { { table.pools().begin(), table.pools().end() },
            { table.routes().begin(), table.routes().end() } };
        for (auto const& operation : operations) {
            std::visit(Core::Overloaded {
                           [&](PutPool const& o) {
                               put(tables.pools, o.pool, o.replace, Kind::PoolMissing, Kind::PoolExists, problems);
                           },
                           [&](RemovePool const& o) { remove(tables.pools, o.pool, Kind::PoolMissing, problems); },
                           [&](PutRoute const& o) {
                               put(tables.routes, o.route, o.replace, Kind::RouteMissing, Kind::RouteExists, problems);
                           },
                           [&](RemoveRoute const& o) { remove(tables.routes, o.route, Kind::RouteMissing, problems); },
                       },
                operation);
        }
        return tables;
    }

    std::shared_ptr<Routing::RoutingTable const> emptyTable()
    {
        return std::make_shared<Routing::RoutingTable const>(Routing::RoutingTable::build({}, {}).value());
    }

} // namespace

std::string describe(EditProblem const& problem)
{
    auto const named = [&](std::string_view text) { return "'" + problem.subject + "' " + std::string(text); };
    auto const both = [&](std::string_view text) { return named(text) + " '" + problem.other + "'"; };
    switch (problem.kind) {
    case EditProblemKind::RouteToMissingPool:
        return "route " + both("names the missing pool");
    case EditProblemKind::DuplicatePool:
        return "pool " + named("is given twice");
    case EditProblemKind::DuplicateRoute:
        return "route " + named("is given twice");
    case EditProblemKind::OverlappingRoutes:
        return "route " + both("matches the same requests as route");
    case EditProblemKind::KeySourceMismatch:
        return "the key source of route " + both("does not fit the kind of pool");
    case EditProblemKind::SlotCountOutOfRange:
        return "pool " + both("has a slot count out of range:");
    case EditProblemKind::InvalidPathPrefix:
        return "route " + both("has an invalid path prefix:");
    case EditProblemKind::PoolInUse:
        return "pool " + named("has backend servers in service");
    case EditProblemKind::PoolShapeInUse:
        return "pool " + named("has backend servers in service: its kind and slot count cannot change");
    case EditProblemKind::PoolMissing:
        return "pool " + named("does not exist");
    case EditProblemKind::RouteMissing:
        return "route " + named("does not exist");
    case EditProblemKind::PoolExists:
        return "pool " + named("already exists");
    case EditProblemKind::RouteExists:
        return "route " + named("already exists");
    case EditProblemKind::TooManyPools:
        return "too many pools";
    case EditProblemKind::TooManyRoutes:
        return "too many routes";
    }
    return "unknown problem";
}

EditLog::EditLog(EditLogLimits limits)
    : limits_(limits)
    , table_(emptyTable())
{
}

EditOutcome EditLog::submit(
    SubmitEdit const& edit, Core::ViewVersion version, Core::Duration now, PoolInUse const& isInUse)
{
    auto const digest = contentDigest(edit);
    if (auto const* known = find(edit.id))
        return known->content == digest ? known->outcome : EditOutcome(EditIdReused {});
    auto outcome = evaluateEdit(edit, version, isInUse);
    recordEdit(edit.id, { digest, outcome, now });
    return outcome;
}

EditOutcome EditLog::evaluateEdit(SubmitEdit const& edit, Core::ViewVersion version, PoolInUse const& isInUse)
{
    if (edit.baseRevision != revision_)
        return EditConflict { revision_ };
    std::vector<EditProblem> problems;
    auto const* operations = std::get_if<std::vector<EditOperation>>(&edit.content);
    auto tables = operations ? applyOperations(*table_, *operations, problems) : std::get<CompleteTables>(edit.content);
    if (tables.pools.size() > maxPools)
        problems.push_back({ EditProblemKind::TooManyPools, {}, {} });
    if (tables.routes.size() > maxRoutes)
        problems.push_back({ EditProblemKind::TooManyRoutes, {}, {} });
    checkPoolsInUse(tables, isInUse, problems);
    auto built = Routing::RoutingTable::build(std::move(tables.pools), std::move(tables.routes));
    if (built.isError())
        std::ranges::transform(built.error(), std::back_inserter(problems), toProblem);
    if (problems.empty())
        return accept(edit, version, std::move(built).value());
    problems.resize(std::min(problems.size(), maxEditProblems));
    return EditInvalid { std::move(problems) };
}

EditOutcome EditLog::accept(SubmitEdit const& edit, Core::ViewVersion version, Routing::RoutingTable table)
{
    revision_ = revision_.next();
    table_ = std::make_shared<Routing::RoutingTable const>(std::move(table));
    history_.push_back({ revision_, edit.id, edit.author, edit.wallClockMilliseconds,
        static_cast<std::uint32_t>(table_->pools().size()), static_cast<std::uint32_t>(table_->routes().size()) });
    while (history_.size() > limits_.maxHistory)
        history_.pop_front();
    return EditAccepted { revision_, version };
}

void EditLog::checkPoolsInUse(
    CompleteTables const& tables, PoolInUse const& isInUse, std::vector<EditProblem>& problems) const
{
    for (auto const& pool : table_->pools()) {
        auto const found = std::ranges::find(tables.pools, pool.name, &PoolDefinition::name);
        auto const isRemoved = found == tables.pools.end();
        auto const hasSlots = pool.kind == Routing::PoolKind::KeyPartitioned;
        if (!isRemoved && found->kind == pool.kind && (!hasSlots || found->slotCount == pool.slotCount))
            continue;
        if (isInUse(pool.name))
            problems.push_back(
                { isRemoved ? EditProblemKind::PoolInUse : EditProblemKind::PoolShapeInUse, pool.name.value, {} });
    }
}

void EditLog::recordEdit(Core::EditId const& id, KnownEdit edit)
{
    known_.emplace(id, std::move(edit));
    knownOrder_.push_back(id);
    while (known_.size() > limits_.maxIds) {
        known_.erase(knownOrder_.front());
        knownOrder_.pop_front();
    }
}

void EditLog::expire(Core::Duration now)
{
    while (!knownOrder_.empty() && known_.at(knownOrder_.front()).recordedAt <= now - limits_.idRetention) {
        known_.erase(knownOrder_.front());
        knownOrder_.pop_front();
    }
}

KnownEdit const* EditLog::find(Core::EditId const& id) const
{
    auto const found = known_.find(id);
    return found == known_.end() ? nullptr : &found->second;
}

EditLog::Content EditLog::content() const
{
    Content content { revision_, table_, history_, {} };
    for (auto const& id : knownOrder_)
        content.known.emplace_back(id, known_.at(id));
    return content;
}

void EditLog::restore(Content content)
{
    revision_ = content.revision;
    table_ = std::move(content.table);
    history_ = std::move(content.history);
    known_.clear();
    knownOrder_.clear();
    for (auto& [id, edit] : content.known)
        recordEdit(id, std::move(edit));
}

} // namespace Control
