#pragma once

// Holds the configuration that is in force on this router: always one whole, checked set of documents, replaced at
// once. Each document is checked on its own: a refused document stays at its last good revision while the others are
// updated.
//
//     ConfigurationState configuration(checker);
//     configuration.offer(table);                       // after each change of the table
//     const auto inForce = configuration.inForce();     // immutable; a request keeps the set it started with
//     spread.storeLastGood(configuration.lastGood());   // for routers that start while a refused one is newest

#include "sequoiausher/base/error.h"
#include "sequoiausher/state/documents/documenttable.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Sequoiausher {

/** How a set is handled in which a refused document has no good revision. */
enum class StandInKind {
    /** The other documents come into force without the refused one. */
    LeaveOut,
    /** The other documents come into force, with StandIn::body in place of the refused one. */
    Replace,
    /** Nothing comes into force. */
    WaitForGood,
};

template<>
inline constexpr auto nameTable<StandInKind> = std::to_array<NameEntry<StandInKind>>({
    {StandInKind::LeaveOut, "leave-out"},
    {StandInKind::Replace, "replace"},
    {StandInKind::WaitForGood, "wait-for-good"},
});

struct StandIn
{
    StandInKind kind = StandInKind::LeaveOut;
    std::string body;
};

/**
 * Decides whether documents may come into force. Every router must reach the same result, so the result may depend on
 * the texts alone. A checker may cache what it parsed of a document, but this must not affect the result for another
 * one.
 */
class DocumentChecker
{
public:
    virtual ~DocumentChecker() = default;

    /** Returns an error with document, line and reason if the document on its own is bad; else std::nullopt. */
    virtual std::optional<Error> check(const DocumentPointer &document) = 0;

    /**
     * Checks a whole set of documents, each of which is good on its own, and returns as check() does. It is called at
     * each change, so its cost should depend on what is new in the set. A good set comes into force.
     */
    virtual std::optional<Error> checkTogether(const DocumentSet &candidate) = 0;

    /** Returns the substitute for a refused document while no good revision of the document is known. */
    virtual StandIn standIn(const std::string &name) const
    {
        static_cast<void>(name);
        return StandIn{StandInKind::LeaveOut, {}};
    }
};

/** A set of documents that is or was in force. */
struct Configuration
{
    /** DocumentTable::digest() of the table that this was made from: equal digests, equal configuration. */
    std::uint64_t digest = 0;
    Revision highestRevision = 0;
    /** Every document name, deleted ones included, with the revision used; 0 for a stand-in. */
    std::vector<DocumentVersion> versions;
    std::shared_ptr<const DocumentSet> documents;
};

/** The result of offering a set. */
enum class OfferResult {
    /** A new set is in force; refusal() gives the error if a document in it is refused. */
    InForce,
    /** The set is in force already, or was refused already. */
    Unchanged,
    /** The changes in the set are refused; the last good set stays in force. */
    Refused,
    /** A document in the set is older than the one in force, or missing. */
    Reverts,
};

template<>
inline constexpr auto nameTable<OfferResult> = std::to_array<NameEntry<OfferResult>>({
    {OfferResult::InForce, "in-force"},
    {OfferResult::Unchanged, "unchanged"},
    {OfferResult::Refused, "refused"},
    {OfferResult::Reverts, "reverts"},
});

/** Returns the name under which the last good revision of a refused document is sent to other routers. */
std::string lastGoodName(const std::string &name);

/** Returns whether name has the form that lastGoodName() returns. The service may not publish such a document. */
bool isLastGoodName(std::string_view name);

/** Not thread-safe: callers must lock, or pass the pointer that inForce() returns to their workers. */
class ConfigurationState
{
public:
    /** @param checker must outlive this object. */
    explicit ConfigurationState(DocumentChecker &checker);
    ~ConfigurationState();

    /** Checks what is new in the table, and puts the good documents in force at once or keeps the current set. */
    OfferResult offer(const DocumentTable &table);

    /** Returns the set in force; nullptr until a set was accepted. */
    std::shared_ptr<const Configuration> inForce() const;

    /** Returns why the newest revision of some document is refused; std::nullopt once all documents are good. */
    const std::optional<Error> &refusal() const;

    /** Returns the last good revision of each refused document under its lastGoodName(), as an ordinary document. */
    std::vector<Document> lastGood() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
