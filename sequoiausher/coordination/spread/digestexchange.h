#pragma once

// Compares the document tables of two routers: one sends bucket digests, the other returns the versions in the buckets
// that differ. Tracks the comparisons that this router started and the documents it still waits for.
//
//     outbox.push_back({peer, exchange.start(peer, random(), table)});
//     if (exchange.acceptAnswer(peer, answer, table)) { ... pull answer.versions ... }

#include "sequoiausher/base/identifiers.h"
#include "sequoiausher/coordination/messages/peermessage.h"
#include "sequoiausher/state/documents/documenttable.h"

#include <memory>
#include <vector>

namespace Sequoiausher {

/** Adds pushes of the documents to peer, each with at most maxBytes of names and bodies, or one larger document. */
void addPushes(const InstanceId &peer,
               const std::vector<Document> &documents,
               std::uint32_t hops,
               std::size_t maxBytes,
               Outbox &outbox);

/** The comparisons that this router starts and answers. Not thread-safe. */
class DigestExchange
{
public:
    /** @param maxBytes an answer adds no further bucket once its names and revisions exceed this size. */
    explicit DigestExchange(std::size_t maxBytes);
    ~DigestExchange();

    /** Returns the request to peer, and replaces an earlier one to the same peer. @param number unlikely to repeat. */
    DocumentDigest start(const InstanceId &peer, std::uint64_t number, const DocumentTable &table);

    /** Returns the answer to a peer's request. @param ready whether this router is ready itself. */
    DocumentDigest answerRequest(const DocumentDigest &request, const DocumentTable &table, bool ready) const;

    /** Records the answer of peer and the versions this router now waits for; false if no such request is open. */
    bool acceptAnswer(const InstanceId &peer, const DocumentDigest &answer, const DocumentTable &table);

    /** Returns the documents in the covered buckets that are newer in table than in the answer. */
    std::vector<Document> newerThan(const DocumentDigest &answer, const DocumentTable &table) const;

    /** Records the arrival of a document, so that no exchange waits for it any longer. */
    void markReceived(const Document &document);

    /**
     * Ends the exchange with peer if all versions of its answer have arrived. Returns true, once per exchange, if the
     * answer also was complete: from a ready peer, and with all buckets that differ.
     */
    bool finishIfComplete(const InstanceId &peer);

    /** Discards all open exchanges. */
    void clear();

private:
    class Private;
    std::unique_ptr<Private> d;
};

} // namespace Sequoiausher
