#pragma once

// The comparison of two routers' tables: bucket digests one way, the versions in the buckets that differ back. Keeps
// what this router asked and still waits for.
//
//     outbox.push_back({peer, exchange.start(peer, random(), table)});
//     if (exchange.acceptAnswer(peer, answer, table)) { ... pull answer.versions ... }

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/coordination/messages/peermessage.h"
#include "sequoiausher/state/documents/documenttable.h"

#include <memory>
#include <vector>

namespace Sequoiausher {

/** Adds pushes of the documents to peer, each of at most maxBytes of names and bodies but for a larger document. */
void addPushes(const InstanceId &peer,
               const std::vector<Document> &documents,
               std::uint32_t hops,
               std::size_t maxBytes,
               Outbox &outbox);

/** Comparisons that this router started and those it answers. Not thread-safe. */
class DigestExchange
{
public:
    /** @param maxBytes an answer holds no more names than fit in this. */
    explicit DigestExchange(std::size_t maxBytes);
    ~DigestExchange();

    /** The request to peer; replaces an earlier one to it. @param number not 0, unlikely to repeat. */
    DocumentDigest start(const InstanceId &peer, std::uint64_t number, const DocumentTable &table);

    /** The answer to a peer's request. */
    DocumentDigest answerRequest(const DocumentDigest &request, const DocumentTable &table, bool ready) const;

    /** Takes the answer of peer; false where no such request is open. Notes which versions are now waited for. */
    bool acceptAnswer(const InstanceId &peer, const DocumentDigest &answer, const DocumentTable &table);

    /** Documents in the covered buckets that table has newer than the answer says. */
    std::vector<Document> newerThan(const DocumentDigest &answer, const DocumentTable &table) const;

    /** A document arrived: nobody waits for it any more. */
    void markReceived(const Document &document);

    /** Whether a ready peer told everything and all of it has arrived; true once for each complete exchange. */
    bool finishIfComplete(const InstanceId &peer);

    /** Forgets all open exchanges. */
    void clear();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
