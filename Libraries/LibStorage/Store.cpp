#include <LibConsensus/Codec.h>
#include <LibCore/Hash.h>
#include <LibStorage/FramedFile.h>
#include <LibStorage/LogReplay.h>
#include <LibStorage/Store.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>

namespace Storage {

namespace {

    constexpr std::string_view identityFile = "identity";
    /// The identity of a store that is being made. Renamed to `identity` once everything else is durable.
    constexpr std::string_view creatingFile = "creating";
    constexpr std::string_view healthyFile = "healthy";
    /// `healthy` is renamed to this after a failure that leaves the page cache in doubt, which needs no space. A
    /// process that starts later then writes the whole state anew instead of trusting what it reads.
    constexpr std::string_view failedFile = "failed";
    constexpr std::string_view logPrefix = "log-";
    constexpr std::string_view snapshotPrefix = "snapshot-";
    constexpr std::size_t numberDigits = 16;
    /// A batch is written once its payloads exceed this, since it is held twice while it is encoded.
    constexpr std::size_t maxBatchBytes = std::size_t { 2 } << 20;

    std::string numberedName(std::string_view prefix, std::uint64_t number)
    {
        std::array<char, numberDigits> digits {};
        auto const result = std::to_chars(digits.begin(), digits.end(), number, 16);
        std::string const text(digits.begin(), result.ptr);
        return std::string(prefix) + std::string(numberDigits - text.size(), '0') + text;
    }

    std::vector<std::uint64_t> numbersOf(std::vector<std::string> const& names, std::string_view prefix)
    {
        std::vector<std::uint64_t> numbers;
        for (auto const& name : names) {
            if (!name.starts_with(prefix) || name.size() != prefix.size() + numberDigits)
                continue;
            std::uint64_t number = 0;
            auto const* end = name.data() + name.size();
            auto const result = std::from_chars(name.data() + prefix.size(), end, number, 16);
            if (result.ec == std::errc {} && result.ptr == end)
                numbers.push_back(number);
        }
        return numbers;
    }

    bool contains(std::vector<std::string> const& names, std::string_view name)
    {
        return std::ranges::find(names, name) != names.end();
    }

    /// Other files in the directory are left alone.
    bool isOwnFile(std::string_view name)
    {
        if (name.ends_with(temporarySuffix))
            name.remove_suffix(temporarySuffix.size());
        return name.starts_with(logPrefix) || name.starts_with(snapshotPrefix) || name == identityFile
            || name == creatingFile || name == healthyFile || name == failedFile;
    }

    /// Whether the page cache may differ from the disk after this error. A write that was refused for lack of space has
    /// changed nothing that was durable; after any other failed change, a later sync proves nothing.
    bool leavesDoubt(StoreError const& error)
    {
        auto const* disk = std::get_if<DiskError>(&error);
        return disk && !disk->isRefusal();
    }

    std::string encodeIdentity(StoreSettings const& settings)
    {
        std::string payload;
        putInteger(payload, static_cast<std::uint32_t>(settings.clusterId.value.size()));
        payload += settings.clusterId.value;
        payload += settings.host.value;
        return encodeFrame(payload);
    }

    Core::Result<Core::Void, StoreError> checkIdentity(std::string_view bytes, StoreSettings const& settings)
    {
        std::string const file(identityFile);
        auto const payload = TRY(decodeFrame(bytes, file, CorruptionKind::DamagedIdentity));
        ByteReader reader(payload);
        auto const length = reader.integer<std::uint32_t>();
        auto const cluster = reader.take(length.value_or(0));
        if (!length || !cluster)
            return StoreError { Corruption { CorruptionKind::DamagedIdentity, file, 0 } };
        Core::ClusterId const foundCluster { std::string(*cluster) };
        Core::HostName const foundHost { std::string(reader.rest()) };
        if (foundCluster != settings.clusterId || foundHost != settings.host)
            return StoreError { IdentityMismatch { settings.clusterId, foundCluster, settings.host, foundHost } };
        return Core::Void {};
    }

    std::string encodeSnapshotPayload(Consensus::Snapshot const& snapshot)
    {
        auto const metadata = Consensus::encodeSnapshotMetadata(snapshot.metadata);
        std::string payload;
        payload.reserve(sizeof(std::uint32_t) + metadata.size() + snapshot.data->size());
        putInteger(payload, static_cast<std::uint32_t>(metadata.size()));
        payload += metadata;
        payload += *snapshot.data;
        return payload;
    }

    Core::Result<Consensus::Snapshot, StoreError> decodeSnapshot(std::string_view bytes, std::string const& file)
    {
        StoreError const damaged { Corruption { CorruptionKind::DamagedSnapshot, file, 0 } };
        auto const payload = TRY(decodeFrame(bytes, file, CorruptionKind::DamagedSnapshot));
        ByteReader reader(payload);
        auto const length = reader.integer<std::uint32_t>();
        auto const encoded = reader.take(length.value_or(0));
        if (!length || !encoded)
            return damaged;
        auto metadata = Consensus::decodeSnapshotMetadata(*encoded);
        auto const data = reader.rest();
        if (metadata.isError() || metadata.value().size != data.size()
            || metadata.value().checksum != Core::hash64(data))
            return damaged;
        return Consensus::Snapshot { std::move(metadata).value(), std::make_shared<std::string const>(data) };
    }

    /// Turns the error of a disk operation into one of the store.
    template <typename T> Core::Result<T, StoreError> lifted(Core::Result<T, DiskError> result)
    {
        if (result.isError())
            return StoreError { std::move(result).error() };
        return std::move(result).value();
    }

    Core::Result<std::unique_ptr<DirectoryLock>, StoreError> takeLock(DiskInterface& disk)
    {
        auto lock = disk.lock();
        if (!lock.isError())
            return std::move(lock).value();
        if (lock.error().errorNumber == EWOULDBLOCK)
            return StoreError { DirectoryInUse {} };
        if (lock.error().errorNumber == ENOENT)
            return StoreError { NotInitialized {} };
        return StoreError { std::move(lock).error() };
    }

} // namespace

class Store::Engine {
public:
    Engine(DiskInterface& disk, StoreSettings settings)
        : disk_(disk)
        , settings_(std::move(settings))
    {
    }

    Core::Result<Core::Void, StoreError> create(Consensus::RecoveredState const&);
    Core::Result<Consensus::RecoveredState, StoreError> open(RecoveryReport&);
    Core::Result<Consensus::PersistSequence, StoreError> persist(std::span<Consensus::PersistRequest const>);
    /// Refuses further requests until one replaces everything.
    void fail(StoreError);
    std::uint64_t bytesWritten() const { return bytesWritten_; }

private:
    struct LogFile {
        std::uint64_t number { 0 };
        /// No live entry of earlier files lies after this index.
        Consensus::LogIndex firstPrevious;
    };

    Core::Result<Consensus::RecoveredState, StoreError> read(RecoveryReport&);
    Core::Result<Core::Void, StoreError> prepare(Consensus::RecoveredState const&);
    void markFailed();
    Core::Result<Core::Void, StoreError> checkFiles(std::vector<std::string> const& names);
    void removeLeftovers();
    Core::Result<std::optional<Consensus::Snapshot>, StoreError> readSnapshot(std::vector<std::string> const& names);
    Core::Result<Core::Void, StoreError> readLog(std::vector<std::string> const& names, LogReplay&, RecoveryReport&);
    Core::Result<std::vector<std::uint64_t>, StoreError> currentFiles(std::vector<std::string> const& names);
    Core::Result<Core::Void, StoreError> write(std::span<Consensus::PersistRequest const>);
    Core::Result<Core::Void, StoreError> rewrite(Consensus::RecoveredState const&);
    Core::Result<Core::Void, DiskError> writeWhole(
        DiskFile&, std::uint64_t number, LogPosition start, Consensus::RecoveredState const&);
    Core::Result<Core::Void, StoreError> repairTail();
    Core::Result<Core::Void, StoreError> flush();
    Core::Result<Core::Void, StoreError> markDurable();
    Core::Result<Core::Void, StoreError> startFile();
    Core::Result<Core::Void, StoreError> writeSnapshot(Consensus::Snapshot const&);
    Core::Result<Core::Void, StoreError> removeObsolete();
    Core::Result<Core::Void, StoreError> add(Consensus::PersistRequest const&);
    Core::Result<Core::Void, StoreError> addRecord(RecordType, std::string payload);

    DiskInterface& disk_;
    StoreSettings settings_;
    std::unique_ptr<DirectoryLock> lock_;
    std::optional<StoreError> failure_;
    std::uint64_t bytesWritten_ { 0 };

    std::unique_ptr<DiskFile> file_;
    std::uint64_t fileSize_ { 0 };
    std::vector<LogFile> files_;
    std::uint64_t nextBatch_ { 1 };
    /// What opening the store must write anew, since it is not proved to be on the disk or cannot be continued.
    enum class Repair : std::uint8_t {
        None,
        /// The last file lacks its first batch.
        LastFileStart,
        /// The last batch of the last file. Each earlier file was durable before the next one was started.
        LastFile,
        Whole,
    };
    Repair repair_ { Repair::None };
    bool isMarkedFailed_ { false };
    Batch batch_;
    /// State with the records of `batch_` and without them.
    Consensus::HardState hardState_;
    LogPosition end_;
    Consensus::HardState durableHardState_;
    LogPosition durableEnd_;
    std::vector<Consensus::LogIndex> snapshots_;
};

Core::Result<Core::Void, StoreError> Store::Engine::create(Consensus::RecoveredState const& state)
{
    TRY(lifted(disk_.createDirectory()));
    lock_ = TRY(takeLock(disk_));
    auto const names = TRY(lifted(disk_.list()));
    if (contains(names, identityFile))
        return StoreError { AlreadyInitialized {} };
    auto const hasData = !numbersOf(names, logPrefix).empty() || !numbersOf(names, snapshotPrefix).empty();
    if (hasData && !contains(names, creatingFile))
        return StoreError { Corruption { CorruptionKind::DamagedIdentity, std::string(identityFile), 0 } };
    // What a creation that was interrupted left behind.
    for (auto const& name : names) {
        if (isOwnFile(name) && name != creatingFile)
            TRY(lifted(disk_.remove(name)));
    }
    TRY(lifted(writeFileAtomically(disk_, std::string(creatingFile), encodeIdentity(settings_))));
    TRY(lifted(writeFileAtomically(disk_, std::string(healthyFile), std::string_view())));

    Consensus::PersistRequest request { .hardState = state.hardState, .entries = state.entries };
    if (state.snapshot) {
        TRY(writeSnapshot(*state.snapshot));
        end_ = { state.snapshot->metadata.index, state.snapshot->metadata.term };
        durableEnd_ = end_;
    }
    TRY(write(std::span(&request, 1)));
    TRY(lifted(disk_.rename(std::string(creatingFile), std::string(identityFile))));
    TRY(lifted(disk_.syncDirectory()));
    return Core::Void {};
}

Core::Result<Core::Void, StoreError> Store::Engine::checkFiles(std::vector<std::string> const& names)
{
    if (!contains(names, identityFile)) {
        auto const isEmpty = numbersOf(names, logPrefix).empty() && numbersOf(names, snapshotPrefix).empty();
        if (isEmpty || contains(names, creatingFile))
            return StoreError { NotInitialized {} };
        return StoreError { Corruption { CorruptionKind::DamagedIdentity, std::string(identityFile), 0 } };
    }
    TRY(checkIdentity(TRY(lifted(disk_.read(std::string(identityFile)))), settings_));
    isMarkedFailed_ = contains(names, failedFile);
    if (!isMarkedFailed_ && !contains(names, healthyFile))
        return StoreError { Corruption { CorruptionKind::DamagedIdentity, std::string(healthyFile), 0 } };
    return Core::Void {};
}

Core::Result<std::optional<Consensus::Snapshot>, StoreError> Store::Engine::readSnapshot(
    std::vector<std::string> const& names)
{
    auto const numbers = numbersOf(names, snapshotPrefix);
    for (auto const number : numbers)
        snapshots_.push_back({ number });
    if (numbers.empty())
        return std::optional<Consensus::Snapshot> {};
    // The log may have been shortened up to the newest one, so an older one cannot take its place.
    auto const file = numberedName(snapshotPrefix, numbers.back());
    auto snapshot = TRY(decodeSnapshot(TRY(lifted(disk_.read(file))), file));
    if (snapshot.metadata.index.value != numbers.back())
        return StoreError { Corruption { CorruptionKind::DamagedSnapshot, file, 0 } };
    return std::optional(std::move(snapshot));
}

/// Returns the numbers of the files that make up the log. A file that begins with a `Reset` record holds the whole
/// state of its time, so earlier files are obsolete.
Core::Result<std::vector<std::uint64_t>, StoreError> Store::Engine::currentFiles(std::vector<std::string> const& names)
{
    auto numbers = numbersOf(names, logPrefix);
    for (auto index = numbers.size(); index-- > 1;) {
        auto const bytes = TRY(lifted(disk_.read(numberedName(logPrefix, numbers[index]))));
        auto const scan = scanFile(bytes, numbers[index], 0);
        if (scan.records.empty() || scan.records.front().type != RecordType::Reset)
            continue;
        numbers.erase(numbers.begin(), numbers.begin() + static_cast<std::ptrdiff_t>(index));
        break;
    }
    return numbers;
}

Core::Result<Core::Void, StoreError> Store::Engine::readLog(
    std::vector<std::string> const& names, LogReplay& replay, RecoveryReport& report)
{
    auto const numbers = TRY(currentFiles(names));
    for (auto const number : numbers) {
        auto const file = numberedName(logPrefix, number);
        auto const isLast = number == numbers.back();
        if (!files_.empty() && number != files_.back().number + 1)
            return StoreError { Corruption { CorruptionKind::MissingEntries, file, 0 } };
        auto const bytes = TRY(lifted(disk_.read(file)));
        auto const scan = scanFile(bytes, number, nextBatch_);
        report.bytesRead += bytes.size();
        if (scan.unsupportedVersion)
            return StoreError { UnsupportedVersion { file, *scan.unsupportedVersion } };
        // A file is started only when the one before is durable, and a batch only when the one before is. So only the
        // last batch of the last file can be torn.
        if (scan.damageOffset && (!isLast || scan.isDamageFollowed)) {
            auto const kind = scan.isHeaderSound ? CorruptionKind::DamagedRecord : CorruptionKind::DamagedFileHeader;
            return StoreError { Corruption { kind, file, *scan.damageOffset } };
        }
        if (scan.batchCount == 0) {
            // Without the first batch the file was never acknowledged. The first file is there since the creation.
            if (!isLast || files_.empty())
                return StoreError { Corruption {
                    CorruptionKind::DamagedFileHeader, file, scan.damageOffset.value_or(0) } };
            report.tornBytes += bytes.size();
            repair_ = Repair::LastFileStart;
            break;
        }
        if (!files_.empty() && scan.firstBatch != nextBatch_)
            return StoreError { Corruption { CorruptionKind::MissingEntries, file, 0 } };
        files_.push_back({ number, replay.end().index });
        for (auto const& record : scan.records) {
            if (record.type == RecordType::Continue && files_.size() == 1) {
                TRY(replay.apply(record, file));
                files_.back().firstPrevious = replay.end().index;
                continue;
            }
            TRY(replay.apply(record, file));
        }
        nextBatch_ = scan.firstBatch + scan.batchCount;
        fileSize_ = scan.soundEnd;
        // A batch without its mark may never have been synced, or its sync may have failed.
        if (isLast && (scan.damageOffset || !scan.isLastBatchMarked))
            repair_ = Repair::LastFile;
        if (scan.damageOffset)
            report.tornBytes += bytes.size() - scan.soundEnd;
    }
    if (files_.empty())
        return StoreError { Corruption { CorruptionKind::MissingEntries, numberedName(logPrefix, 1), 0 } };
    return Core::Void {};
}

Core::Result<Consensus::RecoveredState, StoreError> Store::Engine::open(RecoveryReport& report)
{
    lock_ = TRY(takeLock(disk_));
    auto state = TRY(read(report));
    auto const prepared = prepare(state);
    state.isDurable = !prepared.isError();
    if (prepared.isError()) {
        report.failure = prepared.error();
        fail(prepared.error());
    }
    return state;
}

void Store::Engine::fail(StoreError error)
{
    file_.reset();
    if (lock_ && leavesDoubt(error))
        markFailed();
    failure_ = std::move(error);
}

void Store::Engine::markFailed()
{
    // Without the mark, a batch that lacks its `Durable` record still reveals a failed sync of the log.
    isMarkedFailed_ = !disk_.rename(std::string(healthyFile), std::string(failedFile)).isError() || isMarkedFailed_;
}

/// Reads the state without changing anything on the disk.
Core::Result<Consensus::RecoveredState, StoreError> Store::Engine::read(RecoveryReport& report)
{
    auto const names = TRY(lifted(disk_.list()));
    TRY(checkFiles(names));
    Consensus::RecoveredState state;
    state.snapshot = TRY(readSnapshot(names));
    LogReplay replay;
    TRY(readLog(names, replay, report));
    // What the files end with, before the snapshot is taken into account: a new file repeats it.
    durableEnd_ = replay.end();
    LogPosition start;
    if (state.snapshot)
        start = { state.snapshot->metadata.index, state.snapshot->metadata.term };
    auto const mustReset = TRY(replay.startFrom(start, numberedName(logPrefix, files_.front().number)));
    if (mustReset || isMarkedFailed_)
        repair_ = Repair::Whole;
    hardState_ = replay.hardState;
    end_ = replay.end();
    durableHardState_ = hardState_;
    report.entries = replay.entries.size();
    state.hardState = replay.hardState;
    state.entries = std::move(replay.entries);
    return state;
}

/// Makes the state that was read durable, and the store ready to be written to.
Core::Result<Core::Void, StoreError> Store::Engine::prepare(Consensus::RecoveredState const& state)
{
    removeLeftovers();
    switch (repair_) {
    case Repair::Whole:
        return rewrite(state);
    case Repair::LastFileStart:
        TRY(startFile());
        return removeObsolete();
    case Repair::LastFile:
        TRY(repairTail());
        return removeObsolete();
    case Repair::None:
        break;
    }
    file_ = TRY(lifted(disk_.open(numberedName(logPrefix, files_.back().number), false)));
    TRY(lifted(file_->sync()));
    TRY(lifted(disk_.syncDirectory()));
    return removeObsolete();
}

/// Replaces the last file by a durable one with the same complete batches.
Core::Result<Core::Void, StoreError> Store::Engine::repairTail()
{
    auto const name = numberedName(logPrefix, files_.back().number);
    auto bytes = TRY(lifted(disk_.read(name)));
    bytes.resize(fileSize_);
    TRY(lifted(writeFileAtomically(disk_, name, bytes)));
    bytesWritten_ += bytes.size();
    file_ = TRY(lifted(disk_.open(name, false)));
    return markDurable();
}

/// Removes unfinished files. A failure does no harm: they are replaced or removed later.
void Store::Engine::removeLeftovers()
{
    auto const names = disk_.list();
    if (names.isError())
        return;
    for (auto const& name : names.value()) {
        if (isOwnFile(name) && name.ends_with(temporarySuffix))
            static_cast<void>(disk_.remove(name));
    }
}

Core::Result<Consensus::PersistSequence, StoreError> Store::Engine::persist(
    std::span<Consensus::PersistRequest const> requests)
{
    // A request with the whole state makes those before it superfluous, including those that failed.
    auto const complete
        = std::ranges::find(requests.rbegin(), requests.rend(), true, &Consensus::PersistRequest::replacesAll);
    if (complete != requests.rend())
        requests = requests.last(static_cast<std::size_t>(complete - requests.rbegin()) + 1);
    else if (failure_)
        return *failure_;
    auto result = write(requests);
    if (result.isError()) {
        fail(result.error());
        return *failure_;
    }
    failure_.reset();
    return requests.empty() ? Consensus::PersistSequence {} : requests.back().sequence;
}

Core::Result<Core::Void, StoreError> Store::Engine::write(std::span<Consensus::PersistRequest const> requests)
{
    auto hasSnapshot = false;
    for (auto const& request : requests) {
        if (request.replacesAll) {
            TRY(rewrite({ request.hardState.value_or(Consensus::HardState {}), request.snapshot, request.entries }));
            continue;
        }
        if (request.snapshot) {
            // The snapshot may contain entries of this very batch.
            TRY(flush());
            TRY(writeSnapshot(*request.snapshot));
            hasSnapshot = true;
        }
        TRY(add(request));
    }
    TRY(flush());
    if (hasSnapshot)
        TRY(removeObsolete());
    return Core::Void {};
}

/// Writes the whole state into new files and continues with them. Nothing that was written before counts any more, so
/// this also recovers from a failed sync, after which the content of the old files is unknown.
Core::Result<Core::Void, StoreError> Store::Engine::rewrite(Consensus::RecoveredState const& state)
{
    file_.reset();
    batch_ = {};
    LogPosition start;
    if (state.snapshot) {
        start = { state.snapshot->metadata.index, state.snapshot->metadata.term };
        TRY(writeSnapshot(*state.snapshot));
    }
    auto const number = files_.empty() ? 1 : files_.back().number + 1;
    auto const name = numberedName(logPrefix, number);
    TRY(lifted(
        writeFileAtomically(disk_, name, [&](DiskFile& file) { return writeWhole(file, number, start, state); })));
    files_ = { { number, start.index } };
    bytesWritten_ += fileSize_;
    hardState_ = state.hardState;
    durableHardState_ = hardState_;
    end_ = state.entries.empty() ? start : LogPosition { state.entries.back().index, state.entries.back().term };
    durableEnd_ = end_;
    file_ = TRY(lifted(disk_.open(name, false)));
    TRY(markDurable());
    if (isMarkedFailed_) {
        TRY(lifted(disk_.rename(std::string(failedFile), std::string(healthyFile))));
        TRY(lifted(disk_.syncDirectory()));
        isMarkedFailed_ = false;
    }
    return removeObsolete();
}

/// Writes the whole state as the content of a file of the log, and counts its bytes and batches. No batch needs a
/// `Durable` record, since the file appears under its name only once all of it is durable.
Core::Result<Core::Void, DiskError> Store::Engine::writeWhole(
    DiskFile& file, std::uint64_t number, LogPosition start, Consensus::RecoveredState const& state)
{
    auto const header = encodeFileHeader(number, nextBatch_);
    TRY(file.append(header));
    fileSize_ = header.size();
    Batch batch;
    auto const writeBatch = [&]() -> Core::Result<Core::Void, DiskError> {
        auto const bytes = batch.take(number, nextBatch_);
        TRY(file.append(bytes));
        ++nextBatch_;
        fileSize_ += bytes.size();
        return Core::Void {};
    };
    batch.add(RecordType::Reset, encodePosition(start));
    batch.add(RecordType::HardState, Consensus::encodeHardState(state.hardState));
    for (auto const& entry : state.entries) {
        if (batch.payloadBytes() >= maxBatchBytes)
            TRY(writeBatch());
        batch.add(RecordType::Entry, Consensus::encodeEntry(entry));
    }
    return writeBatch();
}

Core::Result<Core::Void, StoreError> Store::Engine::add(Consensus::PersistRequest const& request)
{
    if (request.snapshot && request.discardsLog) {
        LogPosition const end { request.snapshot->metadata.index, request.snapshot->metadata.term };
        TRY(addRecord(RecordType::Reset, encodePosition(end)));
        end_ = end;
    }
    if (request.hardState) {
        TRY(addRecord(RecordType::HardState, Consensus::encodeHardState(*request.hardState)));
        hardState_ = *request.hardState;
    }
    for (auto const& entry : request.entries) {
        TRY(addRecord(RecordType::Entry, Consensus::encodeEntry(entry)));
        end_ = { entry.index, entry.term };
    }
    return Core::Void {};
}

/// The state that the record leads to must be noted after this call, which may write the records before it.
Core::Result<Core::Void, StoreError> Store::Engine::addRecord(RecordType type, std::string payload)
{
    if (batch_.payloadBytes() >= maxBatchBytes)
        TRY(flush());
    batch_.add(type, std::move(payload));
    return Core::Void {};
}

Core::Result<Core::Void, StoreError> Store::Engine::flush()
{
    if (batch_.isEmpty())
        return Core::Void {};
    if (!file_ || fileSize_ >= settings_.segmentBytes)
        TRY(startFile());
    auto const bytes = batch_.take(files_.back().number, nextBatch_);
    TRY(lifted(file_->append(bytes)));
    TRY(lifted(file_->sync()));
    ++nextBatch_;
    fileSize_ += bytes.size();
    bytesWritten_ += bytes.size();
    durableHardState_ = hardState_;
    durableEnd_ = end_;
    return markDurable();
}

/// Lets the next start tell damage to the last batch from a torn write. Not synced: if it is lost, damage to the last
/// batch is taken for a torn write.
Core::Result<Core::Void, StoreError> Store::Engine::markDurable()
{
    auto const mark = encodeDurableMark(files_.back().number, nextBatch_ - 1);
    TRY(lifted(file_->append(mark)));
    fileSize_ += mark.size();
    bytesWritten_ += mark.size();
    return Core::Void {};
}

/// Each file begins with a batch that repeats what must survive the removal of the files before it.
Core::Result<Core::Void, StoreError> Store::Engine::startFile()
{
    auto const number = files_.empty() ? 1 : files_.back().number + 1;
    // Only the last file may end with bytes that are not durable.
    if (file_)
        TRY(lifted(file_->sync()));
    Batch first;
    first.add(RecordType::Continue, encodePosition(durableEnd_));
    first.add(RecordType::HardState, Consensus::encodeHardState(durableHardState_));
    auto const bytes = encodeFileHeader(number, nextBatch_) + first.take(number, nextBatch_);
    file_ = TRY(lifted(disk_.open(numberedName(logPrefix, number), true)));
    TRY(lifted(file_->append(bytes)));
    TRY(lifted(file_->sync()));
    TRY(lifted(disk_.syncDirectory()));
    files_.push_back({ number, durableEnd_.index });
    ++nextBatch_;
    fileSize_ = bytes.size();
    bytesWritten_ += bytes.size();
    return Core::Void {};
}

Core::Result<Core::Void, StoreError> Store::Engine::writeSnapshot(Consensus::Snapshot const& snapshot)
{
    auto const payload = encodeSnapshotPayload(snapshot);
    auto const header = encodeFrameHeader(payload);
    auto const file = numberedName(snapshotPrefix, snapshot.metadata.index.value);
    TRY(lifted(writeFileAtomically(disk_, file, [&](DiskFile& output) -> Core::Result<Core::Void, DiskError> {
        TRY(output.append(header));
        return output.append(payload);
    })));
    bytesWritten_ += header.size() + payload.size();
    if (std::ranges::find(snapshots_, snapshot.metadata.index) == snapshots_.end())
        snapshots_.push_back(snapshot.metadata.index);
    return Core::Void {};
}

/// Removes what the newest snapshot makes superfluous. The directory is synced after each file of the log, so that a
/// crash leaves no gap between the files.
Core::Result<Core::Void, StoreError> Store::Engine::removeObsolete()
{
    // Files that a rewrite replaced.
    auto const names = TRY(lifted(disk_.list()));
    for (auto const number : numbersOf(names, logPrefix)) {
        if (number < files_.front().number)
            TRY(lifted(disk_.remove(numberedName(logPrefix, number))));
    }
    if (snapshots_.empty())
        return Core::Void {};
    auto const newest = *std::ranges::max_element(snapshots_);
    auto const isObsolete = [&](auto index) { return index != newest; };
    for (auto old = std::ranges::find_if(snapshots_, isObsolete); old != snapshots_.end();
         old = std::ranges::find_if(snapshots_, isObsolete)) {
        TRY(lifted(disk_.remove(numberedName(snapshotPrefix, old->value))));
        snapshots_.erase(old);
    }
    while (files_.size() > 1 && files_[1].firstPrevious <= newest) {
        TRY(lifted(disk_.remove(numberedName(logPrefix, files_.front().number))));
        TRY(lifted(disk_.syncDirectory()));
        files_.erase(files_.begin());
    }
    return Core::Void {};
}

Store::Store(std::unique_ptr<Engine> engine)
    : engine_(std::move(engine))
{
}

Store::~Store() = default;

Core::Result<Core::Void, StoreError> Store::create(
    DiskInterface& disk, StoreSettings const& settings, Consensus::RecoveredState const& state)
{
    Engine engine(disk, settings);
    auto created = engine.create(state);
    if (created.isError())
        engine.fail(created.error());
    return created;
}

Core::Result<Store::Opened, StoreError> Store::open(DiskInterface& disk, StoreSettings const& settings)
{
    auto engine = std::make_unique<Engine>(disk, settings);
    Opened opened;
    opened.state = TRY(engine->open(opened.report));
    opened.store.reset(new Store(std::move(engine)));
    return opened;
}

Core::Result<Consensus::PersistSequence, StoreError> Store::persist(std::span<Consensus::PersistRequest const> requests)
{
    return engine_->persist(requests);
}

std::uint64_t Store::bytesWritten() const { return engine_->bytesWritten(); }

} // namespace Storage
