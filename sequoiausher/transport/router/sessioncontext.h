#pragma once

// The objects of a worker that its requests share.

class QObject;

namespace Sequoiausher {

class HttpClient;
class Log;
class Metrics;
class Node;

/** Outlives the requests of the worker. */
struct SessionContext
{
    Node &node;
    HttpClient &client;
    /** An object on the worker's thread, to post to. */
    QObject &loop;
    const Log &log;
    Metrics &metrics;
};

} // namespace Sequoiausher
