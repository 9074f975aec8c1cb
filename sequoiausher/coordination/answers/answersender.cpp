#include "sequoiausher/coordination/answers/answersender.h"

#include <algorithm>
#include <deque>
#include <map>

namespace Sequoiausher {

namespace {

/** The transfer of one answer. */
struct AnswerTransfer
{
    KeptAnswer answer;
    InstanceId to;
    std::uint64_t sent = 0;
    std::size_t unacknowledgedFragments = 0;
    /** Delivered, or given up. */
    bool ended = false;
};

/** A page that has not been acknowledged yet. */
struct SentPage
{
    InstanceId to;
    AnswerPage page;
    /** The index of the transfer of each fragment. */
    std::vector<std::size_t> transfers;
    Millis sentAt;
    int sendCount = 1;
};

struct Receiver
{
    /** Indexes of the transfers that are not sent completely, the next one first. */
    std::deque<std::size_t> waiting;
    std::size_t pages = 0;
};

} // namespace

class AnswerSender::Private
{
public:
    Private(const AnswerHandoverSettings &bounds, std::uint64_t number, const AnswerBodySource &theSource)
        : settings(bounds)
        , handover(number)
        , source(theSource)
    {
    }

    void assign(std::size_t index)
    {
        AnswerTransfer &transfer = this->transfers[index];
        const std::optional<InstanceId> to = this->list.names.empty()
            ? std::nullopt
            : std::optional(this->list.selectInstances(transfer.answer.key, 1).front());
        transfer.sent = 0;
        transfer.unacknowledgedFragments = 0;
        if (!to) {
            transfer.ended = true;
            return;
        }
        transfer.to = *to;
        this->receivers[*to].waiting.push_back(index);
    }

    void endIfDelivered(AnswerTransfer &transfer)
    {
        if (!transfer.ended && transfer.unacknowledgedFragments == 0 && transfer.sent == transfer.answer.length) {
            transfer.ended = true;
            ++this->delivered;
        }
    }

    /** Adds the next fragment of the transfer to a page. @return false if the answer is no longer kept. */
    bool addFragment(Millis now, std::size_t index, std::size_t room, SentPage &sent)
    {
        AnswerTransfer &transfer = this->transfers[index];
        const std::uint64_t left = transfer.answer.length - transfer.sent;
        const std::size_t wanted = static_cast<std::size_t>(std::min<std::uint64_t>(left, room));
        std::string bytes = this->source.bytesOf(transfer.answer.attempt, transfer.sent, wanted);
        if (bytes.size() != wanted) {
            transfer.ended = true;
            return false;
        }
        AnswerFragment fragment{transfer.answer, transfer.sent, std::move(bytes)};
        fragment.answer.age = transfer.answer.age + (now - this->begunAt);
        transfer.sent += wanted;
        ++transfer.unacknowledgedFragments;
        sent.page.fragments.push_back(std::move(fragment));
        sent.transfers.push_back(index);
        return true;
    }

    void fillPage(Millis now, Receiver &receiver, SentPage &sent)
    {
        std::size_t room = this->settings.pageBytes;
        while (!receiver.waiting.empty() && room > 0 && sent.transfers.size() < this->settings.pageFragments) {
            const std::size_t index = receiver.waiting.front();
            const bool added = this->addFragment(now, index, room, sent);
            const AnswerTransfer &transfer = this->transfers[index];
            if (!added || transfer.sent == transfer.answer.length) {
                receiver.waiting.pop_front();
            }
            room -= added ? sent.page.fragments.back().bytes.size() : 0;
        }
    }

    /** Sends one page to the receiver if it has waiting transfers and the bounds allow it. @return whether it did. */
    bool sendPage(Millis now, const InstanceId &to, Receiver &receiver, Outbox &outbox)
    {
        const bool full
            = receiver.pages >= this->settings.pagesPerReceiver || this->pages.size() >= this->settings.pagesInFlight;
        if (full || receiver.waiting.empty()) {
            return false;
        }
        SentPage sent;
        sent.to = to;
        sent.sentAt = now;
        sent.page.handover = this->handover;
        this->fillPage(now, receiver, sent);
        if (sent.transfers.empty()) {
            return false;
        }
        sent.page.sequence = ++this->lastSequence;
        ++receiver.pages;
        outbox.push_back(Outgoing{to, sent.page});
        this->pages.emplace(sent.page.sequence, std::move(sent));
        return true;
    }

    /** Sends one page to each receiver in turn, so that no receiver waits until another one has all its answers. */
    void sendPages(Millis now, Outbox &outbox)
    {
        bool sent = true;
        while (sent) {
            sent = false;
            for (auto &[to, receiver] : this->receivers) {
                sent = this->sendPage(now, to, receiver, outbox) || sent;
            }
        }
    }

    void removeReceiver(const InstanceId &peer)
    {
        const auto lost = this->receivers.find(peer);
        std::vector<InstanceId> names = this->list.names;
        std::erase(names, peer);
        this->list = makeInstanceList(std::move(names));
        if (lost == this->receivers.end()) {
            return;
        }
        this->receivers.erase(lost);
        std::erase_if(this->pages, [&](const auto &entry) { return entry.second.to == peer; });
        for (std::size_t i = 0; i < this->transfers.size(); ++i) {
            if (!this->transfers[i].ended && this->transfers[i].to == peer) {
                this->assign(i);
            }
        }
    }

    /** Sends overdue pages again. @return the first receiver that has not acknowledged a page after all its sends. */
    std::optional<InstanceId> resend(Millis now, Outbox &outbox)
    {
        for (auto &[sequence, sent] : this->pages) {
            if (now < sent.sentAt + this->settings.resendDelay) {
                continue;
            }
            if (sent.sendCount >= this->settings.maxSendsPerPage) {
                return sent.to;
            }
            ++sent.sendCount;
            sent.sentAt = now;
            outbox.push_back(Outgoing{sent.to, sent.page});
        }
        return std::nullopt;
    }

    void giveUp()
    {
        this->pages.clear();
        this->receivers.clear();
        for (AnswerTransfer &transfer : this->transfers) {
            transfer.ended = true;
        }
    }

    AnswerHandoverSettings settings;
    std::uint64_t handover;
    const AnswerBodySource &source;
    InstanceList list;
    Millis begunAt;
    std::vector<AnswerTransfer> transfers;
    std::map<InstanceId, Receiver> receivers;
    std::map<std::uint64_t, SentPage> pages;
    std::uint64_t lastSequence = 0;
    std::size_t delivered = 0;
    std::size_t total = 0;
};

AnswerSender::AnswerSender(const AnswerHandoverSettings &settings,
                           std::uint64_t handoverId,
                           const AnswerBodySource &source)
    : d(std::make_unique<Private>(settings, handoverId, source))
{
}

AnswerSender::~AnswerSender() = default;

void AnswerSender::begin(Millis now,
                         const std::vector<KeptAnswer> &answers,
                         const InstanceList &receivers,
                         Outbox &outbox)
{
    this->d->begunAt = now;
    this->d->list = receivers;
    this->d->total = answers.size();
    if (this->d->settings.timeLimit <= Millis{0}) {
        return;
    }
    std::uint64_t bytes = 0;
    for (const KeptAnswer &answer : answers) {
        bytes += answer.length;
        if (bytes > this->d->settings.maxTotalBytes) {
            break;
        }
        this->d->transfers.push_back(AnswerTransfer{answer, {}, 0, 0, false});
        this->d->assign(this->d->transfers.size() - 1);
    }
    this->d->sendPages(now, outbox);
}

void AnswerSender::receive(Millis now, const InstanceId &from, const AnswerPageAck &ack, Outbox &outbox)
{
    const auto found = this->d->pages.find(ack.sequence);
    if (ack.handover != this->d->handover || found == this->d->pages.end() || found->second.to != from) {
        return;
    }
    for (const std::size_t index : found->second.transfers) {
        AnswerTransfer &transfer = this->d->transfers[index];
        --transfer.unacknowledgedFragments;
        this->d->endIfDelivered(transfer);
    }
    this->d->pages.erase(found);
    --this->d->receivers[from].pages;
    this->d->sendPages(now, outbox);
}

void AnswerSender::removeReceiver(Millis now, const InstanceId &receiver, Outbox &outbox)
{
    this->d->removeReceiver(receiver);
    this->d->sendPages(now, outbox);
}

void AnswerSender::tick(Millis now, Outbox &outbox)
{
    if (this->isDone()) {
        return;
    }
    if (now >= this->d->begunAt + this->d->settings.timeLimit) {
        this->d->giveUp();
        return;
    }
    while (const std::optional<InstanceId> unresponsive = this->d->resend(now, outbox)) {
        this->d->removeReceiver(*unresponsive);
    }
    this->d->sendPages(now, outbox);
}

bool AnswerSender::isDone() const
{
    const auto &receivers = this->d->receivers;
    const bool hasWaiting = std::any_of(
        receivers.begin(), receivers.end(), [](const auto &entry) { return !entry.second.waiting.empty(); });
    return !hasWaiting && this->d->pages.empty();
}

AnswerHandoverCount AnswerSender::count() const
{
    return AnswerHandoverCount{this->d->delivered, this->d->total - this->d->delivered};
}

} // namespace Sequoiausher
