#include "FakeServers.h"

#include <sys/socket.h>
namespace TestGateway {

Gateway::RequestMetadata TestCodec::readRequest(Proxy::MessageHead const& head) const
{
    Gateway::RequestMetadata metadata;
    metadata.attemptId = head.find("Attempt").value_or("");
    if (auto const left = head.find("Left-Ms"))
        metadata.timeLeft = std::chrono::milliseconds(std::stoi(std::string(*left)));
    if (auto const key = head.find("Key"))
        metadata.key = static_cast<std::uint32_t>(std::stoul(std::string(*key)));
    metadata.apiKey = head.find("Api-Key").value_or("");
    return metadata;
}

Gateway::AnswerMetadata TestCodec::readAnswer(Proxy::MessageHead const& head) const
{
    Gateway::AnswerMetadata metadata;
    metadata.attemptId = head.find("Attempt").value_or("");
    metadata.isNotRun = head.find("Not-Run").has_value();
    if (auto const limit = head.find("Limit"))
        metadata.backpressure
            = { *limit == "many" ? std::nullopt : std::optional(std::stod(std::string(*limit))), *limit == "many" };
    metadata.backpressure.isLeaving = head.find("Leaving") == "yes";
    if (auto const silence = head.find("Silence-Ms"); silence && *silence != "many")
        metadata.backpressure.silence = std::chrono::milliseconds(std::stoi(std::string(*silence)));
    metadata.backpressure.isSilenceUnreadable = head.find("Silence-Ms") == "many";
    metadata.backpressure.isLeavingUnreadable = head.find("Leaving") == "maybe";
    return metadata;
}

std::vector<Proxy::HeaderField> TestCodec::headerFieldsFor(
    Core::ServerName const& server, Core::Duration left, std::optional<Core::WorkspaceName> const& workspace) const
{
    std::vector<Proxy::HeaderField> fields { { "Left-Ms", std::to_string(Core::toMilliseconds(left)) },
        { "Target", server.value } };
    if (workspace)
        fields.push_back({ "Workspace", workspace->value });
    return fields;
}

bool TestCodec::replacesField(std::string_view fieldName, bool hasWorkspaces) const
{
    auto const isNamed = [&](auto const name) { return Proxy::equalsIgnoringCase(fieldName, name); };
    return isNamed("Left-Ms") || isNamed("Target") || isNamed("Workspace") || (hasWorkspaces && isNamed("Api-Key"));
}

Proxy::HeaderField TestCodec::challengeField() const { return { "Challenge", "Api-Key" }; }

class FakeServer::Connection final : public Net::StreamHandler {
public:
    Connection(FakeServer& server, int fd)
        : server_(server)
        , serial_(server.connections_.size())
        , stream_(std::make_unique<Net::Stream>(server.loop_, *this, fd, Net::StreamSettings {}))
        , fd_(fd)
    {
    }

private:
    void onData(Net::Stream& stream) override
    {
        buffer_.append(stream.input().view());
        stream.input().consume(stream.input().view().size());
        auto const headEnd = buffer_.find("\r\n\r\n");
        if (headEnd == std::string::npos)
            return;
        auto const length = headerOf(buffer_, "Content-Length");
        auto const total = headEnd + 4 + (length.empty() ? 0 : std::stoul(length));
        if (buffer_.size() < total)
            return;
        auto const request = buffer_.substr(0, total);
        buffer_.erase(0, total);
        server_.requests_.push_back(request);
        server_.latestConnection_ = serial_;
        auto const reaction = server_.script_(request);
        if (!reaction.first.empty())
            stream_->write(reaction.first);
        if (reaction.after == Core::Duration::zero())
            react(reaction);
        else
            server_.loop_.after(reaction.after, [this, reaction] { react(reaction); });
    }

    void react(Reaction const& reaction)
    {
        stream_->write(reaction.bytes);
        if (reaction.then == Reaction::Then::Keep)
            return;
        if (reaction.then == Reaction::Then::Reset) {
            linger const abort { 1, 0 };
            ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
        }
        stream_->close();
    }

    void onEnd(Net::Stream&, Net::StreamEnd) override { ++server_.closedByPeer_; }

    FakeServer& server_;
    std::size_t serial_;
    std::unique_ptr<Net::Stream> stream_;
    int fd_;
    std::string buffer_;
};

FakeServer::FakeServer(Net::EventLoop& loop, Script script)
    : loop_(loop)
    , script_(std::move(script))
    , port_(freePort())
    , listener_(Net::Listener::open(loop, { "127.0.0.1", port_ }, [this](int fd) { accept(fd); }))
{
}

void FakeServer::accept(int fd)
{
    if (!resetsNewConnections_) {
        connections_.push_back(std::make_unique<Connection>(*this, fd));
        return;
    }
    ++resetConnectionCount_;
    // Posted, so that on a machine of any speed the reset comes after the client side has seen the connection and
    // before its next step.
    loop_.post([fd] {
        linger const abort { 1, 0 };
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
        ::close(fd);
    });
}

FakeServer::~FakeServer() = default;

std::string headerOf(std::string const& bytes, std::string const& name)
{
    auto const at = bytes.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return {};
    auto const begin = at + name.size() + 4;
    return bytes.substr(begin, bytes.find("\r\n", begin) - begin);
}

std::string answerTo(
    std::string const& request, std::string const& statusLine, std::string const& body, std::string const& extraFields)
{
    return "HTTP/1.1 " + statusLine + "\r\nAttempt: " + headerOf(request, "Attempt") + "\r\n" + extraFields
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Fleet::RouteItem route(
    std::string const& name, std::string const& prefix, Fleet::RequestKind kind, Core::PoolName const& pool)
{
    Fleet::RouteItem item;
    item.name = { name };
    item.version = 1;
    item.host = "host.example";
    item.prefix = prefix;
    item.kind = kind;
    item.timeoutMs = 5000;
    item.maxAttempts = 2;
    item.shares = { { pool, 1 } };
    return item;
}

Fleet::PoolItem pool(Core::PoolName const& name, bool isKeyDivided)
{
    Fleet::PoolItem item;
    item.name = name;
    item.version = 1;
    item.maxConnections = 320;
    item.isKeyDivided = isKeyDivided;
    item.warmupPerSecond = 1;
    return item;
}

Fleet::ServerRow server(Fleet::ServerNumber number, FakeServer const& fake, Core::PoolName const& pool)
{
    Fleet::ServerRow row;
    row.server.number = number;
    row.server.name = { "life-" + std::to_string(number) };
    row.server.address = fake.address();
    row.server.pool = pool;
    row.server.domain = { "here" };
    row.server.slots = 4;
    return row;
}

std::string request(std::string const& path, std::string const& id, std::string const& body, int leftMs)
{
    auto const method = body.empty() ? "GET " : "POST ";
    auto const length = body.empty() ? std::string() : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return method + path + " HTTP/1.1\r\nHost: host.example\r\nAttempt: " + id
        + "\r\nKey: 7\r\nLeft-Ms: " + std::to_string(leftMs) + "\r\n" + length + "\r\n" + body;
}

FakeServer::Script answering(std::string const& statusLine, std::string const& body, std::string const& fields)
{
    return [=](auto const& request) { return FakeServer::Reaction { answerTo(request, statusLine, body, fields) }; };
}

} // namespace TestGateway
