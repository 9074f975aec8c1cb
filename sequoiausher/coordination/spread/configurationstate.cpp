#include "sequoiausher/coordination/spread/configurationstate.h"

#include <map>

namespace Sequoiausher {

namespace {

constexpr std::string_view lastGoodPrefix = "last-good/";

/** The cached result of checking one revision of a document. */
struct CheckResult
{
    Revision revision = 0;
    std::optional<Error> error;
};

/** A set to put in force, and the reasons against it. */
struct Candidate
{
    DocumentSet documents;
    std::vector<DocumentVersion> versions;
    std::optional<Error> refusal;
    bool mustWait = false;
};

} // namespace

std::string lastGoodName(const std::string &name)
{
    return std::string(lastGoodPrefix) + name;
}

bool isLastGoodName(std::string_view name)
{
    return name.starts_with(lastGoodPrefix);
}

class ConfigurationState::Private
{
public:
    explicit Private(DocumentChecker &theChecker) : checker(theChecker)
    {
    }

    const std::optional<Error> &checkCached(const DocumentPointer &document);
    DocumentPointer lastGoodOf(const std::string &name, const DocumentTable &table);
    void addLastGoodOrStandIn(const DocumentPointer &document, const DocumentTable &table, Candidate &candidate);
    Candidate buildCandidate(const DocumentTable &table);
    bool hasOlderRevision(const DocumentTable &table) const;
    bool isNewRefusal(const std::optional<Error> &refusal) const;

    DocumentChecker &checker;
    std::shared_ptr<const Configuration> current;
    std::optional<Error> currentRefusal;
    std::optional<std::uint64_t> checkedDigest;
    std::map<std::string, CheckResult> checkResults;
    /** The last good revision of each refused document, by the document's name. */
    std::map<std::string, DocumentPointer> lastGoodDocuments;
};

ConfigurationState::ConfigurationState(DocumentChecker &checker) : d(std::make_unique<Private>(checker))
{
}
ConfigurationState::~ConfigurationState() = default;

// Each document is checked on its own, so a result stays valid until the document has a new revision.
const std::optional<Error> &ConfigurationState::Private::checkCached(const DocumentPointer &document)
{
    CheckResult &result = this->checkResults[document->name];
    if (result.revision != document->revision) {
        result = {document->revision, this->checker.check(document)};
    }
    return result.error;
}

/**
 * Returns the newest known good revision: the one in force on this router, or the one in the table under
 * lastGoodName(), which another router had in force; nullptr if there is neither.
 */
DocumentPointer ConfigurationState::Private::lastGoodOf(const std::string &name, const DocumentTable &table)
{
    DocumentPointer best;
    if (this->current) {
        const auto own = this->current->documents->find(name);
        // A stand-in has revision 0.
        if (own != this->current->documents->end() && own->second->revision > 0) {
            best = own->second;
        }
    }
    const DocumentPointer received = table.find(lastGoodName(name));
    if (!received || received->deleted || (best && best->revision >= received->revision)) {
        return best;
    }
    const auto renamed = std::make_shared<const Document>(Document{name, received->revision, received->body, false});
    return this->checker.check(renamed) ? best : renamed;
}

void ConfigurationState::Private::addLastGoodOrStandIn(const DocumentPointer &document,
                                                       const DocumentTable &table,
                                                       Candidate &candidate)
{
    const std::string &name = document->name;
    if (const DocumentPointer good = this->lastGoodOf(name, table)) {
        this->lastGoodDocuments[name] = good;
        candidate.documents[name] = good;
        candidate.versions.push_back({name, good->revision});
        return;
    }
    const StandIn standIn = this->checker.standIn(name);
    candidate.mustWait = candidate.mustWait || standIn.kind == StandInKind::WaitForGood;
    if (standIn.kind == StandInKind::Replace) {
        candidate.documents[name] = std::make_shared<const Document>(Document{name, 0, standIn.body, false});
        candidate.versions.push_back({name, 0});
    }
}

Candidate ConfigurationState::Private::buildCandidate(const DocumentTable &table)
{
    Candidate candidate;
    this->lastGoodDocuments.clear();
    for (const DocumentVersion &version : table.versions()) {
        const DocumentPointer document = table.find(version.name);
        if (isLastGoodName(version.name)) {
            continue;
        }
        if (document->deleted) {
            candidate.versions.push_back(version);
            continue;
        }
        const std::optional<Error> &error = this->checkCached(document);
        if (!error) {
            candidate.documents[version.name] = document;
            candidate.versions.push_back(version);
            continue;
        }
        if (!candidate.refusal) {
            candidate.refusal = error;
        }
        this->addLastGoodOrStandIn(document, table, candidate);
    }
    return candidate;
}

// A table never returns to older revisions, so this is true only if a caller offers another table than before, such as
// a rebuilt one. Without this check an old rule would come into force again; operators see a count of these results.
bool ConfigurationState::Private::hasOlderRevision(const DocumentTable &table) const
{
    if (!this->current) {
        return false;
    }
    for (const DocumentVersion &version : this->current->versions) {
        if (table.revisionOf(version.name) < version.revision) {
            return true;
        }
    }
    return false;
}

bool ConfigurationState::Private::isNewRefusal(const std::optional<Error> &refusal) const
{
    return refusal && (!this->currentRefusal || std::string(refusal->what()) != this->currentRefusal->what());
}

OfferResult ConfigurationState::offer(const DocumentTable &table)
{
    const std::uint64_t digest = table.digest();
    if (this->d->checkedDigest == digest) {
        return OfferResult::Unchanged;
    }
    if (this->d->hasOlderRevision(table)) {
        return OfferResult::Reverts;
    }
    Candidate candidate = this->d->buildCandidate(table);
    this->d->checkedDigest = digest;
    const bool isNewRefusal = this->d->isNewRefusal(candidate.refusal);
    this->d->currentRefusal = candidate.refusal;
    const bool hasChanged = !this->d->current || this->d->current->versions != candidate.versions;
    if (candidate.mustWait || (this->d->currentRefusal && !hasChanged)) {
        return isNewRefusal ? OfferResult::Refused : OfferResult::Unchanged;
    }
    // Each document left is good on its own, so this check finds only errors that involve several documents.
    if (const auto error = this->d->checker.checkTogether(candidate.documents)) {
        this->d->currentRefusal = error;
        return OfferResult::Refused;
    }
    auto documents = std::make_shared<const DocumentSet>(std::move(candidate.documents));
    this->d->current = std::make_shared<const Configuration>(
        Configuration{digest, table.highestRevision(), std::move(candidate.versions), std::move(documents)});
    return hasChanged ? OfferResult::InForce : OfferResult::Unchanged;
}

std::shared_ptr<const Configuration> ConfigurationState::inForce() const
{
    return this->d->current;
}

const std::optional<Error> &ConfigurationState::refusal() const
{
    return this->d->currentRefusal;
}

std::vector<Document> ConfigurationState::lastGood() const
{
    std::vector<Document> documents;
    for (const auto &[name, good] : this->d->lastGoodDocuments) {
        documents.push_back(Document{lastGoodName(name), good->revision, good->body, false});
    }
    return documents;
}

} // namespace Sequoiausher
