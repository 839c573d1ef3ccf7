#include <LibConsensus/Codec.h>
#include <LibConsensus/Consensus.capnp.h>

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstring>

namespace Consensus {

namespace {

    /// Maximum nesting depth of a message. The deepest valid content is a list of members within a list.
    constexpr int nestingLimit = 16;
    /// Additional traversal allowance, so that small fields can be read twice.
    constexpr std::uint64_t slackWords = 64;

    kj::StringPtr textOf(std::string const& text) { return { text.c_str(), text.size() }; }

    capnp::Data::Reader dataOf(std::string_view bytes)
    {
        return { reinterpret_cast<capnp::byte const*>(bytes.data()), bytes.size() };
    }

    /// Collects the segments of a message without a second copy of the whole.
    class StringOutput final : public kj::OutputStream {
    public:
        explicit StringOutput(std::size_t size) { bytes_.reserve(size); }

        void write(void const* buffer, std::size_t size) override
        {
            bytes_.append(static_cast<char const*>(buffer), size);
        }
        std::string take() { return std::move(bytes_); }

    private:
        std::string bytes_;
    };

    std::string stringOf(capnp::Text::Reader text) { return { text.begin(), text.size() }; }

    std::string stringOf(capnp::Data::Reader data)
    {
        return { reinterpret_cast<char const*>(data.begin()), data.size() };
    }

    void write(Wire::Member::Builder builder, Member const& member)
    {
        builder.setName(textOf(member.name.value));
        builder.setAddress(textOf(member.endpoint.address));
        builder.setPort(member.endpoint.port);
    }

    Core::Result<Member, DecodeError> read(Wire::Member::Reader reader)
    {
        Member member { { stringOf(reader.getName()) }, { stringOf(reader.getAddress()), reader.getPort() } };
        if (member.name.isEmpty())
            return InvalidField { "name" };
        return member;
    }

    void write(capnp::List<Wire::Member>::Builder builder, std::vector<Member> const& members)
    {
        for (unsigned i = 0; i < members.size(); ++i)
            write(builder[i], members[i]);
    }

    Core::Result<std::vector<Member>, DecodeError> read(
        capnp::List<Wire::Member>::Reader reader, std::string_view fieldName)
    {
        std::vector<Member> members;
        members.reserve(reader.size());
        for (auto const member : reader) {
            members.push_back(TRY(read(member)));
            // Members must be sorted and unique, because a duplicate would count twice in a quorum.
            if (members.size() > 1 && !(members[members.size() - 2].name < members.back().name))
                return InvalidField { fieldName };
        }
        return members;
    }

    void write(Wire::Configuration::Builder builder, Configuration const& configuration)
    {
        write(builder.initVoters(static_cast<unsigned>(configuration.voters.size())), configuration.voters);
        write(builder.initLearners(static_cast<unsigned>(configuration.learners.size())), configuration.learners);
    }

    Core::Result<Configuration, DecodeError> read(Wire::Configuration::Reader reader)
    {
        Configuration configuration;
        configuration.voters = TRY(read(reader.getVoters(), "voters"));
        configuration.learners = TRY(read(reader.getLearners(), "learners"));
        for (auto const& learner : configuration.learners) {
            if (configuration.isVoter(learner.name))
                return InvalidField { "learners" };
        }
        return configuration;
    }

    void write(Wire::Entry::Builder builder, LogEntry const& entry)
    {
        builder.setTerm(entry.term.value);
        builder.setIndex(entry.index.value);
        std::visit(Core::Overloaded {
                       [&](Noop const&) { builder.setNoop(); },
                       [&](Command const& command) { builder.setCommand(dataOf(command.payload.view())); },
                       [&](Configuration const& content) { write(builder.initConfiguration(), content); },
                   },
            entry.content);
    }

    Core::Result<LogEntry, DecodeError> read(Wire::Entry::Reader reader)
    {
        LogEntry entry { { reader.getTerm() }, { reader.getIndex() }, Noop {} };
        if (entry.term.value == 0)
            return InvalidField { "term" };
        if (entry.index.value == 0)
            return InvalidField { "index" };
        switch (reader.which()) {
        case Wire::Entry::NOOP:
            return entry;
        case Wire::Entry::COMMAND:
            entry.content = Command { stringOf(reader.getCommand()) };
            return entry;
        case Wire::Entry::CONFIGURATION:
            entry.content = TRY(read(reader.getConfiguration()));
            return entry;
        }
        return UnknownVariant {};
    }

    void write(Wire::HardState::Builder builder, HardState const& state)
    {
        builder.setTerm(state.term.value);
        builder.setVotedFor(textOf(state.votedFor.value_or(Core::HostName {}).value));
    }

    Core::Result<HardState, DecodeError> read(Wire::HardState::Reader reader)
    {
        HardState state { { reader.getTerm() }, std::nullopt };
        if (reader.getVotedFor().size() > 0)
            state.votedFor = Core::HostName { stringOf(reader.getVotedFor()) };
        return state;
    }

    void write(Wire::SnapshotMetadata::Builder builder, SnapshotMetadata const& metadata)
    {
        builder.setIndex(metadata.index.value);
        builder.setTerm(metadata.term.value);
        write(builder.initConfiguration(), metadata.configuration);
        builder.setConfigurationIndex(metadata.configurationIndex.value);
        builder.setSize(metadata.size);
        builder.setChecksum(metadata.checksum);
    }

    Core::Result<SnapshotMetadata, DecodeError> read(Wire::SnapshotMetadata::Reader reader)
    {
        auto configuration = TRY(read(reader.getConfiguration()));
        SnapshotMetadata metadata {
            .index = { reader.getIndex() },
            .term = { reader.getTerm() },
            .configuration = std::move(configuration),
            .configurationIndex = { reader.getConfigurationIndex() },
            .size = reader.getSize(),
            .checksum = reader.getChecksum(),
        };
        if (metadata.index.value == 0)
            return InvalidField { "index" };
        if (metadata.configurationIndex > metadata.index)
            return InvalidField { "configurationIndex" };
        return metadata;
    }

    void write(Wire::VoteRequest::Builder builder, VoteRequest const& body)
    {
        builder.setElectionTerm(body.electionTerm.value);
        builder.setLastIndex(body.lastIndex.value);
        builder.setLastTerm(body.lastTerm.value);
        builder.setIsPreVote(body.isPreVote);
        builder.setIsTransfer(body.isTransfer);
    }

    void write(Wire::VoteResponse::Builder builder, VoteResponse const& body)
    {
        builder.setElectionTerm(body.electionTerm.value);
        builder.setIsGranted(body.isGranted);
        builder.setIsPreVote(body.isPreVote);
    }

    void write(Wire::Heartbeat::Builder builder, Heartbeat const& body)
    {
        builder.setRound(body.round.value);
        builder.setCommitIndex(body.commitIndex.value);
        builder.setIsReceiverVoter(body.isReceiverVoter);
    }

    void write(Wire::HeartbeatResponse::Builder builder, HeartbeatResponse const& body)
    {
        builder.setRound(body.round.value);
        builder.setMatchIndex(body.matchIndex.value);
        builder.setReceivedIndex(body.receivedIndex.value);
    }

    void write(Wire::AppendRequest::Builder builder, AppendRequest const& body)
    {
        builder.setRound(body.round.value);
        builder.setPreviousIndex(body.previousIndex.value);
        builder.setPreviousTerm(body.previousTerm.value);
        builder.setCommitIndex(body.commitIndex.value);
        builder.setIsReceiverVoter(body.isReceiverVoter);
        auto entries = builder.initEntries(static_cast<unsigned>(body.entries.size()));
        for (unsigned i = 0; i < body.entries.size(); ++i)
            write(entries[i], body.entries[i]);
    }

    void write(Wire::AppendResponse::Builder builder, AppendResponse const& body)
    {
        builder.setRound(body.round.value);
        builder.setOutcome(static_cast<Wire::AppendOutcome>(body.outcome));
        builder.setMatchIndex(body.matchIndex.value);
        builder.setReceivedIndex(body.receivedIndex.value);
        builder.setRejectedIndex(body.rejectedIndex.value);
        builder.setHintIndex(body.hintIndex.value);
        builder.setHintTerm(body.hintTerm.value);
    }

    void write(Wire::SnapshotChunk::Builder builder, SnapshotChunk const& body)
    {
        builder.setRound(body.round.value);
        write(builder.initMetadata(), body.metadata);
        builder.setIsReceiverVoter(body.isReceiverVoter);
        builder.setOffset(body.offset);
        builder.setData(dataOf(body.data));
    }

    void write(Wire::SnapshotResponse::Builder builder, SnapshotResponse const& body)
    {
        builder.setRound(body.round.value);
        builder.setSnapshotIndex(body.snapshotIndex.value);
        builder.setNextOffset(body.nextOffset);
    }

    void write(Wire::Message::Builder builder, Message const& message)
    {
        builder.setClusterId(textOf(message.clusterId.value));
        builder.setFrom(textOf(message.from.value));
        builder.setTo(textOf(message.to.value));
        builder.setTerm(message.term.value);
        std::visit(Core::Overloaded {
                       [&](VoteRequest const& body) { write(builder.initVoteRequest(), body); },
                       [&](VoteResponse const& body) { write(builder.initVoteResponse(), body); },
                       [&](Heartbeat const& body) { write(builder.initHeartbeat(), body); },
                       [&](HeartbeatResponse const& body) { write(builder.initHeartbeatResponse(), body); },
                       [&](AppendRequest const& body) { write(builder.initAppendRequest(), body); },
                       [&](AppendResponse const& body) { write(builder.initAppendResponse(), body); },
                       [&](SnapshotChunk const& body) { write(builder.initSnapshotChunk(), body); },
                       [&](SnapshotResponse const& body) { write(builder.initSnapshotResponse(), body); },
                       [&](TimeoutNow const&) { builder.setTimeoutNow(); },
                   },
            message.body);
    }

    Core::Result<MessageBody, DecodeError> read(Wire::AppendRequest::Reader reader)
    {
        AppendRequest body {
            .round = { reader.getRound() },
            .previousIndex = { reader.getPreviousIndex() },
            .previousTerm = { reader.getPreviousTerm() },
            .commitIndex = { reader.getCommitIndex() },
            .isReceiverVoter = reader.getIsReceiverVoter(),
        };
        auto const entries = reader.getEntries();
        body.entries.reserve(entries.size());
        for (auto const entry : entries) {
            body.entries.push_back(TRY(read(entry)));
            if (body.entries.back().index.value != body.previousIndex.value + body.entries.size())
                return InvalidField { "entries" };
        }
        return MessageBody { std::move(body) };
    }

    Core::Result<MessageBody, DecodeError> read(Wire::AppendResponse::Reader reader)
    {
        auto const outcome = static_cast<AppendOutcome>(reader.getOutcome());
        if (outcome > AppendOutcome::DataLost)
            return InvalidField { "outcome" };
        return MessageBody { AppendResponse {
            .round = { reader.getRound() },
            .outcome = outcome,
            .matchIndex = { reader.getMatchIndex() },
            .receivedIndex = { reader.getReceivedIndex() },
            .rejectedIndex = { reader.getRejectedIndex() },
            .hintIndex = { reader.getHintIndex() },
            .hintTerm = { reader.getHintTerm() },
        } };
    }

    Core::Result<MessageBody, DecodeError> read(Wire::SnapshotChunk::Reader reader)
    {
        auto metadata = TRY(read(reader.getMetadata()));
        SnapshotChunk body {
            .round = { reader.getRound() },
            .metadata = std::move(metadata),
            .isReceiverVoter = reader.getIsReceiverVoter(),
            .offset = reader.getOffset(),
            .data = stringOf(reader.getData()),
        };
        if (body.offset > body.metadata.size || body.data.size() > body.metadata.size - body.offset)
            return InvalidField { "offset" };
        return MessageBody { std::move(body) };
    }

    Core::Result<MessageBody, DecodeError> readBody(Wire::Message::Reader reader)
    {
        switch (reader.which()) {
        case Wire::Message::VOTE_REQUEST: {
            auto const body = reader.getVoteRequest();
            return MessageBody { VoteRequest { { body.getElectionTerm() }, { body.getLastIndex() },
                { body.getLastTerm() }, body.getIsPreVote(), body.getIsTransfer() } };
        }
        case Wire::Message::VOTE_RESPONSE: {
            auto const body = reader.getVoteResponse();
            return MessageBody { VoteResponse {
                { body.getElectionTerm() }, body.getIsGranted(), body.getIsPreVote() } };
        }
        case Wire::Message::HEARTBEAT: {
            auto const body = reader.getHeartbeat();
            return MessageBody { Heartbeat {
                { body.getRound() }, { body.getCommitIndex() }, body.getIsReceiverVoter() } };
        }
        case Wire::Message::HEARTBEAT_RESPONSE: {
            auto const body = reader.getHeartbeatResponse();
            return MessageBody { HeartbeatResponse {
                { body.getRound() }, { body.getMatchIndex() }, { body.getReceivedIndex() } } };
        }
        case Wire::Message::APPEND_REQUEST:
            return read(reader.getAppendRequest());
        case Wire::Message::APPEND_RESPONSE:
            return read(reader.getAppendResponse());
        case Wire::Message::SNAPSHOT_CHUNK:
            return read(reader.getSnapshotChunk());
        case Wire::Message::SNAPSHOT_RESPONSE: {
            auto const body = reader.getSnapshotResponse();
            return MessageBody { SnapshotResponse {
                { body.getRound() }, { body.getSnapshotIndex() }, body.getNextOffset() } };
        }
        case Wire::Message::TIMEOUT_NOW:
            return MessageBody { TimeoutNow {} };
        }
        return UnknownVariant {};
    }

    Core::Result<Message, DecodeError> read(Wire::Message::Reader reader)
    {
        Message message { { stringOf(reader.getClusterId()) }, { stringOf(reader.getFrom()) },
            { stringOf(reader.getTo()) }, { reader.getTerm() }, TimeoutNow {} };
        if (message.from.isEmpty())
            return InvalidField { "from" };
        message.body = TRY(readBody(reader));
        return message;
    }

    template <typename Root, typename Value> std::string encode(Value const& value)
    {
        capnp::MallocMessageBuilder builder;
        write(builder.initRoot<Root>(), value);
        StringOutput output(capnp::computeSerializedSizeInWords(builder) * sizeof(capnp::word));
        capnp::writeMessage(output, builder);
        return output.take();
    }

    /// Decodes a message. Cap'n Proto checks bounds while fields are read and throws exceptions, which are converted to
    /// errors here.
    template <typename Root, typename Value> Core::Result<Value, DecodeError> decode(std::string_view bytes)
    {
        if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0 || bytes.size() > maxEncodedBytes)
            return MalformedEncoding {};
        auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
        std::memcpy(words.begin(), bytes.data(), bytes.size());
        try {
            // Reading a valid message traverses it about once, so its size limits the traversal.
            capnp::ReaderOptions const options {
                .traversalLimitInWords = 2 * words.size() + slackWords,
                .nestingLimit = nestingLimit,
            };
            capnp::FlatArrayMessageReader reader(words, options);
            // Trailing bytes are rejected, because they would be lost when the message is encoded again.
            if (reader.getEnd() != words.end())
                return MalformedEncoding {};
            return read(reader.getRoot<Root>());
        } catch (kj::Exception const&) {
            return MalformedEncoding {};
        }
    }

} // namespace

std::string describe(DecodeError const& error)
{
    return std::visit(Core::Overloaded {
                          [](MalformedEncoding) { return std::string("malformed encoding"); },
                          [](UnknownVariant) { return std::string("unknown variant"); },
                          [](InvalidField invalid) { return "invalid field " + std::string(invalid.field); },
                      },
        error);
}

std::string encodeMessage(Message const& message) { return encode<Wire::Message>(message); }
Core::Result<Message, DecodeError> decodeMessage(std::string_view bytes)
{
    return decode<Wire::Message, Message>(bytes);
}

std::string encodeEntry(LogEntry const& entry) { return encode<Wire::Entry>(entry); }
Core::Result<LogEntry, DecodeError> decodeEntry(std::string_view bytes) { return decode<Wire::Entry, LogEntry>(bytes); }

std::string encodeHardState(HardState const& state) { return encode<Wire::HardState>(state); }
Core::Result<HardState, DecodeError> decodeHardState(std::string_view bytes)
{
    return decode<Wire::HardState, HardState>(bytes);
}

std::string encodeSnapshotMetadata(SnapshotMetadata const& metadata)
{
    return encode<Wire::SnapshotMetadata>(metadata);
}
Core::Result<SnapshotMetadata, DecodeError> decodeSnapshotMetadata(std::string_view bytes)
{
    return decode<Wire::SnapshotMetadata, SnapshotMetadata>(bytes);
}

} // namespace Consensus
