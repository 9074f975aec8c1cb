#include "lab/platform/platformmodel.h"

#include <algorithm>
#include <deque>
#include <map>
#include <sstream>
#include <string_view>
#include <utility>

namespace Sequoiausher::Lab {

namespace {

constexpr std::int64_t millisPerSecond = 1000;
constexpr std::int64_t meanOverSeconds = 10;

using DocumentTable = std::map<std::string, Document>;

/** A change that is not visible yet. */
struct PendingChange
{
    Millis visibleAt;
    Document document;
};

struct WaitingWatch
{
    WatchNumber watch = 0;
    Revision after = 0;
    Millis deadline;
};

bool lags(const std::string &name)
{
    return name == "instances" || name.starts_with("targets/");
}

std::string_view trimmed(std::string_view line)
{
    const std::size_t first = line.find_first_not_of(" \t\r");
    if (first == std::string_view::npos) {
        return {};
    }
    return line.substr(first, line.find_last_not_of(" \t\r") - first + 1);
}

} // namespace

class PlatformModel::Private
{
public:
    void change(Document document, Millis now);
    void publish(Document document);
    void endWatches(Millis now);
    const DocumentTable &visible() const
    {
        return this->mode == PlatformMode::Stale ? this->frozen : this->current;
    }
    Revision visibleRevision() const
    {
        return this->mode == PlatformMode::Stale ? this->frozenRevision : this->revision;
    }

    PlatformMode mode = PlatformMode::Up;
    Millis listLag;
    DocumentTable current;
    Revision revision = 0;
    DocumentTable frozen;
    Revision frozenRevision = 0;
    std::deque<PendingChange> pending;
    std::vector<WaitingWatch> waiting;
    std::vector<WatchAnswer> answers;
    ReadCounts counts;
    std::map<std::int64_t, std::uint64_t> readsBySecond;
};

PlatformModel::PlatformModel() : d(std::make_unique<Private>())
{
}

PlatformModel::~PlatformModel() = default;

void PlatformModel::put(const std::string &name, const std::string &text, Millis now)
{
    this->d->change(Document{name, 0, text, false}, now);
}

bool PlatformModel::erase(const std::string &name, Millis now)
{
    if (!this->newest(name)) {
        return false;
    }
    this->d->change(Document{name, 0, {}, true}, now);
    return true;
}

std::optional<std::string> PlatformModel::newest(const std::string &name) const
{
    const auto &pending = this->d->pending;
    const auto later = std::find_if(pending.rbegin(), pending.rend(), [&name](const PendingChange &change) {
        return change.document.name == name;
    });
    if (later != pending.rend()) {
        return later->document.deleted ? std::nullopt : std::make_optional(later->document.body);
    }
    const auto known = this->d->current.find(name);
    if (known == this->d->current.end() || known->second.deleted) {
        return std::nullopt;
    }
    return known->second.body;
}

void PlatformModel::Private::change(Document document, Millis now)
{
    if (lags(document.name) && this->listLag > Millis{0}) {
        this->pending.push_back({now + this->listLag, std::move(document)});
        return;
    }
    // An earlier change of the same document that still lags would later undo this one.
    std::erase_if(this->pending,
                  [&document](const PendingChange &change) { return change.document.name == document.name; });
    this->publish(std::move(document));
    this->endWatches(now);
}

void PlatformModel::Private::publish(Document document)
{
    // The revision is given when a document becomes visible: a watch that has seen a higher one would miss it.
    document.revision = ++this->revision;
    this->current.insert_or_assign(document.name, std::move(document));
}

void PlatformModel::setMode(PlatformMode mode, Millis now)
{
    if (mode == PlatformMode::Stale && this->d->mode != PlatformMode::Stale) {
        this->d->frozen = this->d->current;
        this->d->frozenRevision = this->d->revision;
    }
    this->d->mode = mode;
    if (mode == PlatformMode::Down) {
        for (const WaitingWatch &watch : std::exchange(this->d->waiting, {})) {
            this->d->answers.push_back({watch.watch, std::nullopt});
        }
    }
    this->d->endWatches(now);
}

PlatformMode PlatformModel::mode() const
{
    return this->d->mode;
}

void PlatformModel::setListLag(Millis lag)
{
    this->d->listLag = lag;
}

bool PlatformModel::countRead(ReadKind kind, Millis now)
{
    ReadCounts &counts = this->d->counts;
    counts.lists += kind == ReadKind::List ? 1 : 0;
    counts.gets += kind == ReadKind::Get ? 1 : 0;
    counts.watches += kind == ReadKind::Watch ? 1 : 0;
    const std::int64_t second = now.count / millisPerSecond;
    const std::uint64_t inSecond = ++this->d->readsBySecond[second];
    counts.peakPerSecond = std::max(counts.peakPerSecond, inSecond);
    auto &bySecond = this->d->readsBySecond;
    bySecond.erase(bySecond.begin(), bySecond.lower_bound(second - meanOverSeconds));
    if (this->d->mode == PlatformMode::Down) {
        ++counts.refused;
        return false;
    }
    return true;
}

Listing PlatformModel::list(Revision after) const
{
    Listing listing{this->d->visibleRevision(), {}};
    for (const auto &[name, document] : this->d->visible()) {
        if (document.revision > after) {
            listing.documents.push_back({name, document.revision, document.deleted});
        }
    }
    return listing;
}

std::optional<Document> PlatformModel::get(const std::string &name) const
{
    const auto known = this->d->visible().find(name);
    if (known == this->d->visible().end() || known->second.deleted) {
        return std::nullopt;
    }
    return known->second;
}

std::optional<Listing> PlatformModel::watch(WatchNumber watch, Revision after, Millis deadline, Millis now)
{
    Listing listing = this->list(after);
    if (!listing.documents.empty() || deadline <= now) {
        return listing;
    }
    this->d->waiting.push_back({watch, after, deadline});
    return std::nullopt;
}

void PlatformModel::forgetWatch(WatchNumber watch)
{
    std::erase_if(this->d->waiting, [watch](const WaitingWatch &waiting) { return waiting.watch == watch; });
}

void PlatformModel::advance(Millis now)
{
    while (!this->d->pending.empty() && this->d->pending.front().visibleAt <= now) {
        Document document = std::move(this->d->pending.front().document);
        this->d->pending.pop_front();
        this->d->publish(std::move(document));
    }
    this->d->endWatches(now);
}

void PlatformModel::Private::endWatches(Millis now)
{
    std::vector<WaitingWatch> still;
    for (const WaitingWatch &watch : this->waiting) {
        if (watch.after >= this->visibleRevision() && watch.deadline > now) {
            still.push_back(watch);
            continue;
        }
        Listing listing{this->visibleRevision(), {}};
        for (const auto &[name, document] : this->visible()) {
            if (document.revision > watch.after) {
                listing.documents.push_back({name, document.revision, document.deleted});
            }
        }
        this->answers.push_back({watch.watch, std::move(listing)});
    }
    this->waiting = std::move(still);
}

Millis PlatformModel::nextDue() const
{
    Millis due = this->d->pending.empty() ? Millis::never() : this->d->pending.front().visibleAt;
    for (const WaitingWatch &watch : this->d->waiting) {
        due = std::min(due, watch.deadline);
    }
    return due;
}

std::vector<WatchAnswer> PlatformModel::takeAnswers()
{
    return std::exchange(this->d->answers, {});
}

ReadCounts PlatformModel::reads(Millis now) const
{
    ReadCounts counts = this->d->counts;
    counts.waiting = this->d->waiting.size();
    const std::int64_t second = now.count / millisPerSecond;
    std::uint64_t recent = 0;
    for (const auto &[at, reads] : this->d->readsBySecond) {
        recent += at < second && at >= second - meanOverSeconds ? reads : 0;
    }
    counts.perSecond = static_cast<double>(recent) / static_cast<double>(meanOverSeconds);
    return counts;
}

std::optional<std::string> withTargetState(const std::string &text, const std::string &target, const std::string &state)
{
    const std::string header = "[target " + target + "]";
    std::istringstream lines(text);
    std::string edited;
    std::string line;
    bool found = false;
    bool within = false;
    while (std::getline(lines, line)) {
        const std::string_view content = trimmed(line);
        if (content.starts_with('[')) {
            within = content == header;
        }
        const std::string_view key = trimmed(content.substr(0, content.find('=')));
        if (within && key == "state") {
            continue;
        }
        edited += line + "\n";
        if (content == header) {
            found = true;
            edited += "state = " + state + "\n";
        }
    }
    return found ? std::make_optional(edited) : std::nullopt;
}

} // namespace Sequoiausher::Lab
