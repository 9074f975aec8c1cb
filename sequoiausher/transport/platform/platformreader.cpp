#include "sequoiausher/transport/platform/platformreader.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QUrl>

#include <algorithm>
#include <optional>
#include <random>

namespace Sequoiausher {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
/** Bodies asked for at the same time. */
constexpr std::size_t maximumParallelReads = 8;
/** Of one answer: the service holds values up to a megabyte, and its list names some thousands of them. */
constexpr std::size_t maximumAnswerBytes = std::size_t{16} << 20U;
const std::string instancesDocument = "instances";

struct DocumentList
{
    Revision revision = 0;
    std::vector<DocumentVersion> versions;
    std::vector<Document> deleted;
};

// A revision never goes back, so one that is not a sane number must not get into the table: -1 read as unsigned would
// be the highest of all and hold its document fast for good. It would show as rules that no publishing changes.
std::optional<Revision> parseRevision(std::int64_t number)
{
    return number > 0 ? std::optional(static_cast<Revision>(number)) : std::nullopt;
}

/** One bad entry makes the whole list unreadable: what it hides must not pass for read. */
std::optional<DocumentList> parseList(const std::string &body)
{
    const QJsonDocument json = QJsonDocument::fromJson(QByteArray::fromStdString(body));
    if (!json.isObject() || !json.object().value(QLatin1String("documents")).isArray()) {
        return std::nullopt;
    }
    DocumentList list;
    const std::int64_t highest = json.object().value(QLatin1String("revision")).toInteger(-1);
    if (highest < 0) {
        return std::nullopt;
    }
    list.revision = static_cast<Revision>(highest);
    for (const auto &entry : json.object().value(QLatin1String("documents")).toArray()) {
        const QJsonObject object = entry.toObject();
        const std::string name = object.value(QLatin1String("name")).toString().toStdString();
        const auto parsed = parseRevision(object.value(QLatin1String("revision")).toInteger());
        if (name.empty() || !parsed) {
            return std::nullopt;
        }
        const Revision revision = *parsed;
        if (object.value(QLatin1String("deleted")).toBool()) {
            list.deleted.push_back(Document{name, revision, {}, true});
        } else {
            list.versions.push_back(DocumentVersion{name, revision});
        }
    }
    return list;
}

} // namespace

/** One answer of the service, whole. */
struct ServiceAnswer
{
    int status = 0;
    /** 0 where the answer named none. */
    Revision revision = 0;
    std::string body;
    bool tooLarge = false;
};

class PlatformReader::Private
{
public:
    Private(HttpClient &theClient, const PlatformReaderOptions &theOptions, PlatformListener &theListener)
        : client(theClient)
        , options(theOptions)
        , listener(theListener)
        , random(theOptions.seed)
    {
    }

    using OnAnswer = std::function<void(const ServiceAnswer &)>;

    void call(const std::string &path, Millis timeout, OnAnswer onAnswer);
    void failed(const std::string &reason);
    void pause();
    void readList(bool whole);
    void takeList(const std::string &body, bool whole);
    void readBodies();
    void takeBody(const DocumentVersion &listed, const ServiceAnswer &answer);
    void finishRound();
    void readInstances();

    HttpClient &client;
    PlatformReaderOptions options;
    PlatformListener &listener;
    std::mt19937_64 random;
    std::size_t address = 0;
    std::uint64_t callCount = 0;
    Millis lastPoke;
    Millis quietUntil;
    Millis backOff{0};
    Millis wholeListAt{0};
    bool busy = false;
    /** Every revision up to this one has been read. */
    Revision seenUpTo = 0;
    // The round in progress: a list, then the bodies that it named.
    Revision roundRevision = 0;
    bool roundWhole = false;
    bool roundFailed = false;
    /** A listed document was not there; what the list says is not read whole yet. */
    bool roundMisses = false;
    std::vector<DocumentVersion> toRead;
    std::size_t reading = 0;
    std::vector<Document> read;
};

void PlatformReader::Private::call(const std::string &path, Millis timeout, OnAnswer onAnswer)
{
    this->callCount += 1;
    this->busy = true;
    auto answer = std::make_shared<ServiceAnswer>();
    HttpCallbacks callbacks;
    callbacks.onHead = [answer](int status, const HttpHeaders &headers) {
        answer->status = status;
        const std::string revision(headers.value("X-Revision"));
        answer->revision = parseRevision(std::strtoll(revision.c_str(), nullptr, 10)).value_or(0);
    };
    callbacks.onData = [answer](std::string_view bytes) {
        answer->tooLarge = answer->tooLarge || answer->body.size() + bytes.size() > maximumAnswerBytes;
        if (!answer->tooLarge) {
            answer->body.append(bytes);
        }
    };
    callbacks.onEnd = [this, answer, onAnswer = std::move(onAnswer)] {
        if (answer->tooLarge) {
            this->failed("the answer is too large");
        } else {
            onAnswer(*answer);
        }
    };
    callbacks.onError = [this](const ClientError &error) { this->failed(error.reason); };
    const std::string url = "http://" + this->options.addresses[this->address] + path;
    // After a failure over new connections alone: the pooled ones may have gone silent together.
    const RequestOptions limits{timeout, timeout, this->backOff > Millis{0}};
    this->client.send(HttpRequest{"GET", url, {}, {}}, limits, std::move(callbacks));
}

// Counts once for a round: eight bodies that fail together would else double the pause eight times, so that a moment's
// outage cost seconds, and would step through the addresses back to the one that failed.
void PlatformReader::Private::failed(const std::string &reason)
{
    if (!this->roundFailed) {
        this->roundFailed = true;
        this->listener.serviceFailed(this->options.addresses[this->address], reason);
        this->address = (this->address + 1) % this->options.addresses.size();
        this->pause();
    }
    if (this->reading > 0) {
        this->reading -= 1;
    }
    if (this->reading == 0) {
        this->finishRound();
    }
}

// Without the random part, readers that lost the service together would come back together.
void PlatformReader::Private::pause()
{
    const Millis doubled = this->backOff * 2;
    this->backOff = std::clamp(doubled, this->options.firstBackOff, this->options.longestBackOff);
    std::uniform_int_distribution<std::int64_t> jitter(this->backOff.count / 2, this->backOff.count);
    this->quietUntil = this->lastPoke + Millis{jitter(this->random)};
}

void PlatformReader::Private::readList(bool whole)
{
    this->roundFailed = false;
    this->roundMisses = false;
    this->roundWhole = whole;
    const std::string path = whole ? "/v1/documents"
                                   : "/v1/watch?after=" + std::to_string(this->seenUpTo)
            + "&timeout_ms=" + std::to_string(this->options.watchTimeout.count);
    const Millis timeout = whole ? this->options.callTimeout : this->options.watchTimeout + this->options.callTimeout;
    this->call(path, timeout, [this, whole](const ServiceAnswer &answer) {
        if (answer.status != statusOk) {
            this->failed("status " + std::to_string(answer.status));
            return;
        }
        this->takeList(answer.body, whole);
    });
}

void PlatformReader::Private::takeList(const std::string &body, bool whole)
{
    const std::optional<DocumentList> list = parseList(body);
    if (!list) {
        this->failed("the list of documents is not readable");
        return;
    }
    this->listener.serviceAnswered();
    if (whole) {
        this->wholeListAt = this->lastPoke + this->options.wholeListEvery;
    }
    this->roundRevision = list->revision;
    this->read = list->deleted;
    const std::vector<std::string> wanted = this->listener.wanted(list->versions);
    for (const DocumentVersion &version : list->versions) {
        if (std::find(wanted.begin(), wanted.end(), version.name) != wanted.end()) {
            this->toRead.push_back(version);
        }
    }
    this->readBodies();
}

void PlatformReader::Private::readBodies()
{
    while (!this->toRead.empty() && this->reading < maximumParallelReads && !this->roundFailed) {
        const DocumentVersion listed = this->toRead.back();
        this->toRead.pop_back();
        this->reading += 1;
        const std::string encoded = QUrl::toPercentEncoding(QString::fromStdString(listed.name), "/").toStdString();
        this->call("/v1/documents/" + encoded, this->options.callTimeout, [this, listed](const ServiceAnswer &answer) {
            this->takeBody(listed, answer);
        });
    }
    if (this->reading == 0) {
        this->finishRound();
    }
}

// A body older than its list comes from a replica of the service that lags behind. Taken for read, the newer one would
// stay unread until the next whole list, a minute later; so the round counts as failed, and what came is kept.
void PlatformReader::Private::takeBody(const DocumentVersion &listed, const ServiceAnswer &answer)
{
    if (answer.status == statusNotFound) {
        this->roundMisses = true;
    } else if (answer.status != statusOk || answer.revision == 0) {
        this->failed("document " + listed.name + ": status " + std::to_string(answer.status));
        return;
    } else {
        this->read.push_back(Document{listed.name, answer.revision, answer.body, false});
        if (answer.revision < listed.revision) {
            this->failed("document " + listed.name + ": older than the list says");
            return;
        }
    }
    this->reading -= 1;
    this->readBodies();
}

// A document that is not found was deleted between list and read, which the next list says; or the replica that
// answered has not got it yet. So the same list is asked for again, after a pause.
void PlatformReader::Private::finishRound()
{
    this->busy = false;
    this->toRead.clear();
    const bool whole = this->roundWhole && !this->roundFailed;
    if (!this->read.empty() || whole) {
        std::vector<Document> documents;
        documents.swap(this->read);
        this->listener.learnt(documents, whole);
    }
    if (this->roundFailed) {
        return;
    }
    if (this->roundMisses) {
        this->pause();
        return;
    }
    this->backOff = Millis{0};
    this->seenUpTo = std::max(this->seenUpTo, this->roundRevision);
}

void PlatformReader::Private::readInstances()
{
    this->roundFailed = false;
    this->roundMisses = false;
    this->roundWhole = false;
    this->roundRevision = 0;
    this->reading += 1;
    this->call("/v1/documents/" + instancesDocument, this->options.callTimeout, [this](const ServiceAnswer &answer) {
        if (answer.status == statusOk) {
            this->listener.serviceAnswered();
        }
        this->takeBody(DocumentVersion{instancesDocument, 0}, answer);
    });
}

PlatformReader::PlatformReader(HttpClient &client, const PlatformReaderOptions &options, PlatformListener &listener)
    : d(std::make_unique<Private>(client, options, listener))
{
}

PlatformReader::~PlatformReader() = default;

void PlatformReader::poke(Millis now)
{
    this->d->lastPoke = now;
    if (this->d->busy || now < this->d->quietUntil) {
        return;
    }
    switch (this->d->listener.readPlan()) {
    case ReadPlan::Nothing:
        return;
    case ReadPlan::Instances:
        this->d->readInstances();
        return;
    case ReadPlan::Watch:
        this->d->readList(this->d->seenUpTo == 0 || now >= this->d->wholeListAt);
        return;
    }
}

std::uint64_t PlatformReader::calls() const
{
    return this->d->callCount;
}

} // namespace Sequoiausher
