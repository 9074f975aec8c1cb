#include "sequoiausher/transport/router/answerserver.h"

#include <QMetaObject>
#include <QObject>

#include <unordered_map>

namespace Sequoiausher {

namespace {

constexpr std::size_t chunkBytes = 32 * 1024;

struct Attachment
{
    InstanceId to;
    AnswerCursor cursor;
    bool headSent = false;
};

} // namespace

class AnswerServer::Private
{
public:
    Private(AnswerTable &theAnswers, Send theSend) : answers(theAnswers), send(std::move(theSend))
    {
    }

    template<typename Work>
    void post(Work work)
    {
        QMetaObject::invokeMethod(&this->loop, std::move(work), Qt::QueuedConnection);
    }

    void begin(const InstanceId &from, const AttachRequest &request);
    void pump(const RequestId &attachment);
    bool sendHead(const RequestId &id, Attachment &attachment, const AnswerPart &part);
    void end(const RequestId &id);

    AnswerTable &answers;
    Send send;
    QObject loop;
    std::unordered_map<RequestId, Attachment> attachments;
};

void AnswerServer::Private::begin(const InstanceId &from, const AttachRequest &request)
{
    const RequestId id = request.attachment;
    // May be called on any thread, and once more after the end.
    const auto wake = [this, id] { this->post([this, id] { this->pump(id); }); };
    const std::optional<AnswerCursor> cursor = this->answers.attach(request.attempt, wake);
    if (!cursor) {
        this->send(from, AttachReply{id, AttachVerdict::Unknown, 0, {}});
        return;
    }
    // A repeated request means that messages were lost, so the whole answer is sent again.
    this->end(id);
    this->attachments[id] = Attachment{from, *cursor};
    this->pump(id);
}

// The first message contains the head of the answer, so it is sent once that is known.
bool AnswerServer::Private::sendHead(const RequestId &id, Attachment &attachment, const AnswerPart &part)
{
    if (part.head) {
        this->send(attachment.to, AttachReply{id, AttachVerdict::Follows, part.head->status, part.head->contentType});
        attachment.headSent = true;
        return true;
    }
    if (part.state != AnswerState::Running) {
        const bool notRun = part.state == AnswerState::NotRun;
        this->send(attachment.to, AttachReply{id, notRun ? AttachVerdict::NotRun : AttachVerdict::Unknown, 0, {}});
        this->end(id);
    } else {
        this->send(attachment.to, AttachReply{id, AttachVerdict::Waits, 0, {}});
    }
    return false;
}

void AnswerServer::Private::pump(const RequestId &id)
{
    while (true) {
        const auto found = this->attachments.find(id);
        if (found == this->attachments.end()) {
            return;
        }
        Attachment &attachment = found->second;
        const AnswerPart part = this->answers.read(attachment.cursor, chunkBytes);
        if (!attachment.headSent && !this->sendHead(id, attachment, part)) {
            return;
        }
        if (!part.bytes.empty()) {
            this->send(attachment.to, AttachChunk{id, part.offset, part.bytes});
            continue;
        }
        if (part.state != AnswerState::Running) {
            const bool complete = part.state == AnswerState::Complete;
            this->send(attachment.to,
                       AttachEnd{id, complete, complete ? "" : std::string(nameOf(part.state)), part.offset});
            this->end(id);
        }
        return;
    }
}

void AnswerServer::Private::end(const RequestId &id)
{
    const auto found = this->attachments.find(id);
    if (found != this->attachments.end()) {
        this->answers.detach(found->second.cursor);
        this->attachments.erase(found);
    }
}

AnswerServer::AnswerServer(AnswerTable &answers, Send send) : d(std::make_unique<Private>(answers, std::move(send)))
{
}

AnswerServer::~AnswerServer() = default;

void AnswerServer::attach(const InstanceId &from, const AttachRequest &request)
{
    this->d->post([this, from, request] { this->d->begin(from, request); });
}

void AnswerServer::cancel(const InstanceId &from, const AttachCancel &cancel)
{
    (void)from;
    this->d->post([this, id = cancel.attachment] { this->d->end(id); });
}

void AnswerServer::peerLost(const InstanceId &peer)
{
    this->d->post([this, peer] {
        std::vector<RequestId> lost;
        for (const auto &entry : this->d->attachments) {
            if (entry.second.to == peer) {
                lost.push_back(entry.first);
            }
        }
        for (const RequestId &id : lost) {
            this->d->end(id);
        }
    });
}

} // namespace Sequoiausher
