#include "sequoiausher/coordination/answers/answergiver.h"

#include <algorithm>
#include <deque>
#include <map>

namespace Sequoiausher {

namespace {

/** One answer on its way. */
struct Parcel
{
    KeptAnswer answer;
    InstanceId to;
    std::uint64_t sent = 0;
    std::size_t unacknowledged = 0;
    /** Given, or not to be given any more. */
    bool ended = false;
};

/** One page that is not acknowledged yet. */
struct SentPage
{
    InstanceId to;
    AnswerPage page;
    /** The parcel of each fragment. */
    std::vector<std::size_t> parcels;
    Millis sentAt;
    int sends = 1;
};

struct Receiver
{
    /** Parcels to be sent or sent in part, the first one next. */
    std::deque<std::size_t> waiting;
    std::size_t pages = 0;
};

} // namespace

class AnswerGiver::Private
{
public:
    Private(const HandoverSettings &bounds, std::uint64_t number, const AnswerSource &theSource)
        : settings(bounds)
        , handover(number)
        , source(theSource)
    {
    }

    void assign(std::size_t index)
    {
        Parcel &parcel = this->parcels[index];
        const std::optional<InstanceId> to
            = this->list.names.empty() ? std::nullopt : std::optional(this->list.first(parcel.answer.key, 1).front());
        parcel.sent = 0;
        parcel.unacknowledged = 0;
        if (!to) {
            parcel.ended = true;
            return;
        }
        parcel.to = *to;
        this->receivers[*to].waiting.push_back(index);
    }

    void endIfGiven(Parcel &parcel)
    {
        if (!parcel.ended && parcel.unacknowledged == 0 && parcel.sent == parcel.answer.length) {
            parcel.ended = true;
            ++this->given;
        }
    }

    /** Adds the next fragment of the receiver's first parcel. False where the answer is kept no more. */
    bool addFragment(Millis now, std::size_t index, std::size_t room, SentPage &sent)
    {
        Parcel &parcel = this->parcels[index];
        const std::uint64_t left = parcel.answer.length - parcel.sent;
        const std::size_t wanted = static_cast<std::size_t>(std::min<std::uint64_t>(left, room));
        std::string bytes = this->source.bytesOf(parcel.answer.attempt, parcel.sent, wanted);
        if (bytes.size() != wanted) {
            parcel.ended = true;
            return false;
        }
        AnswerFragment fragment{parcel.answer, parcel.sent, std::move(bytes)};
        fragment.answer.age = parcel.answer.age + (now - this->begunAt);
        parcel.sent += wanted;
        ++parcel.unacknowledged;
        sent.page.fragments.push_back(std::move(fragment));
        sent.parcels.push_back(index);
        return true;
    }

    void fillPage(Millis now, Receiver &receiver, SentPage &sent)
    {
        std::size_t room = this->settings.pageBytes;
        while (!receiver.waiting.empty() && room > 0 && sent.parcels.size() < this->settings.pageFragments) {
            const std::size_t index = receiver.waiting.front();
            const bool added = this->addFragment(now, index, room, sent);
            const Parcel &parcel = this->parcels[index];
            if (!added || parcel.sent == parcel.answer.length) {
                receiver.waiting.pop_front();
            }
            room -= added ? sent.page.fragments.back().bytes.size() : 0;
        }
    }

    /** Sends one page to a receiver that has room and work. */
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
        if (sent.parcels.empty()) {
            return false;
        }
        sent.page.sequence = ++this->lastSequence;
        ++receiver.pages;
        outbox.push_back(Outgoing{to, sent.page});
        this->pages.emplace(sent.page.sequence, std::move(sent));
        return true;
    }

    /** One page to each receiver in turn, so that none waits until another has everything. */
    void sendMore(Millis now, Outbox &outbox)
    {
        bool sent = true;
        while (sent) {
            sent = false;
            for (auto &[to, receiver] : this->receivers) {
                sent = this->sendPage(now, to, receiver, outbox) || sent;
            }
        }
    }

    void lose(const InstanceId &peer)
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
        for (std::size_t i = 0; i < this->parcels.size(); ++i) {
            if (!this->parcels[i].ended && this->parcels[i].to == peer) {
                this->assign(i);
            }
        }
    }

    /** Sends again what is due; gives the first receiver that was silent for too long. */
    std::optional<InstanceId> resend(Millis now, Outbox &outbox)
    {
        for (auto &[sequence, sent] : this->pages) {
            if (now < sent.sentAt + this->settings.resendAfter) {
                continue;
            }
            if (sent.sends >= this->settings.sendsPerPage) {
                return sent.to;
            }
            ++sent.sends;
            sent.sentAt = now;
            outbox.push_back(Outgoing{sent.to, sent.page});
        }
        return std::nullopt;
    }

    void giveUp()
    {
        this->pages.clear();
        this->receivers.clear();
        for (Parcel &parcel : this->parcels) {
            parcel.ended = true;
        }
    }

    HandoverSettings settings;
    std::uint64_t handover;
    const AnswerSource &source;
    InstanceList list;
    Millis begunAt;
    std::vector<Parcel> parcels;
    std::map<InstanceId, Receiver> receivers;
    std::map<std::uint64_t, SentPage> pages;
    std::uint64_t lastSequence = 0;
    std::size_t given = 0;
    std::size_t total = 0;
};

AnswerGiver::AnswerGiver(const HandoverSettings &settings, std::uint64_t handover, const AnswerSource &source)
    : d(std::make_unique<Private>(settings, handover, source))
{
}

AnswerGiver::~AnswerGiver() = default;

void AnswerGiver::begin(Millis now,
                        const std::vector<KeptAnswer> &answers,
                        const InstanceList &receivers,
                        Outbox &outbox)
{
    this->d->begunAt = now;
    this->d->list = receivers;
    this->d->total = answers.size();
    if (this->d->settings.time <= Millis{0}) {
        return;
    }
    std::uint64_t bytes = 0;
    for (const KeptAnswer &answer : answers) {
        bytes += answer.length;
        if (bytes > this->d->settings.bytes) {
            break;
        }
        this->d->parcels.push_back(Parcel{answer, {}, 0, 0, false});
        this->d->assign(this->d->parcels.size() - 1);
    }
    this->d->sendMore(now, outbox);
}

void AnswerGiver::receive(Millis now, const InstanceId &from, const AnswerPageAck &ack, Outbox &outbox)
{
    const auto found = this->d->pages.find(ack.sequence);
    if (ack.handover != this->d->handover || found == this->d->pages.end() || found->second.to != from) {
        return;
    }
    for (const std::size_t index : found->second.parcels) {
        Parcel &parcel = this->d->parcels[index];
        --parcel.unacknowledged;
        this->d->endIfGiven(parcel);
    }
    this->d->pages.erase(found);
    --this->d->receivers[from].pages;
    this->d->sendMore(now, outbox);
}

void AnswerGiver::peerLost(Millis now, const InstanceId &peer, Outbox &outbox)
{
    this->d->lose(peer);
    this->d->sendMore(now, outbox);
}

void AnswerGiver::tick(Millis now, Outbox &outbox)
{
    if (this->isDone()) {
        return;
    }
    if (now >= this->d->begunAt + this->d->settings.time) {
        this->d->giveUp();
        return;
    }
    while (const std::optional<InstanceId> silent = this->d->resend(now, outbox)) {
        this->d->lose(*silent);
    }
    this->d->sendMore(now, outbox);
}

bool AnswerGiver::isDone() const
{
    const auto &receivers = this->d->receivers;
    const bool waits = std::any_of(
        receivers.begin(), receivers.end(), [](const auto &entry) { return !entry.second.waiting.empty(); });
    return !waits && this->d->pages.empty();
}

HandoverCount AnswerGiver::count() const
{
    return HandoverCount{this->d->given, this->d->total - this->d->given};
}

} // namespace Sequoiausher
