#pragma once

// Which configuration is in force on this router: always one whole, checked set of documents, swapped at once. Each
// document is judged by itself: of a refused one the last good revision stays, and the others go on.
//
//     ConfigurationState configuration(checker);
//     configuration.offer(table);                       // after each change of the table
//     const auto inForce = configuration.inForce();     // immutable; a request keeps the one it started with
//     spread.storeLastGood(configuration.lastGood());            // for routers that start while a refused one is the
//     newest

#include "sequoiausher/base/error.h"
#include "sequoiausher/state/documents/documenttable.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Sequoiausher {

/** What becomes of a set in which a refused document has no good revision. */
enum class StandInKind {
    /** The others come into force without it. */
    LeaveOut,
    /** The others come into force, with StandIn::body in its place. */
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
 * Says whether documents may come into force. It must judge the same way on every router, and so by the texts alone: it
 * may keep what it read of a document, not let it bear on another's verdict.
 */
class DocumentChecker
{
public:
    virtual ~DocumentChecker() = default;

    /** std::nullopt where the document, taken by itself, is good; else an error that names document, line and reason.
     */
    virtual std::optional<Error> check(const DocumentPointer &document) = 0;

    /**
     * The same for a whole set of documents each of which is good by itself. It is asked at each change, so it should
     * cost what is new in the set. A set that it finds good comes into force.
     */
    virtual std::optional<Error> checkTogether(const DocumentSet &candidate) = 0;

    /** What takes the place of a refused document while no good revision of it is known. */
    virtual StandIn standIn(const std::string &name) const
    {
        static_cast<void>(name);
        return StandIn{StandInKind::LeaveOut, {}};
    }
};

/** One set in force. */
struct Configuration
{
    /** DocumentTable::digest() of the table that it was made from: equal digests, equal configuration. */
    std::uint64_t digest = 0;
    Revision highestRevision = 0;
    /** Every name with the revision it was built from, tombstones included; 0 where a stand-in takes its place. */
    std::vector<DocumentVersion> versions;
    std::shared_ptr<const DocumentSet> documents;
};

/** What became of an offered set. */
enum class OfferResult {
    /** A new set is in force; refusal() tells of documents in it that stayed at their last good revision. */
    InForce,
    /** It is in force already, or was refused already. */
    Unchanged,
    /** What is new in it is refused; the last good set stays. */
    Refused,
    /** Some document in it is older than the one in force, or missing. */
    Reverts,
};

template<>
inline constexpr auto nameTable<OfferResult> = std::to_array<NameEntry<OfferResult>>({
    {OfferResult::InForce, "in-force"},
    {OfferResult::Unchanged, "unchanged"},
    {OfferResult::Refused, "refused"},
    {OfferResult::Reverts, "reverts"},
});

/** Under which name the last good revision of a refused document spreads. */
std::string lastGoodName(const std::string &name);

/** Whether name is one that lastGoodName() makes. The service may not publish such a document. */
bool isLastGoodName(std::string_view name);

/** Not thread-safe; the caller locks, or hands the pointer that inForce() gives to its workers. */
class ConfigurationState
{
public:
    /** @param checker outlives this. */
    explicit ConfigurationState(DocumentChecker &checker);
    ~ConfigurationState();

    /** Checks what is new in the table and puts what is good in force at once, or keeps what is. */
    OfferResult offer(const DocumentTable &table);

    /** The set in force; nullptr until one was accepted. */
    std::shared_ptr<const Configuration> inForce() const;

    /** Why the newest revision of some document is refused; std::nullopt once all are good. */
    const std::optional<Error> &refusal() const;

    /** For each refused document its last good revision, under lastGoodName(): a document like any other. */
    std::vector<Document> lastGood() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
