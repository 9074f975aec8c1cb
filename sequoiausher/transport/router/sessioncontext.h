#pragma once

// What a worker lends to the requests that it carries.

class QObject;

namespace Sequoiausher {

class HttpClient;
class Log;
class Metrics;
class Node;

/** Outlives the requests. */
struct SessionContext
{
    Node &node;
    HttpClient &client;
    /** An object of the worker's thread, to post to. */
    QObject &loop;
    const Log &log;
    Metrics &metrics;
};

} // namespace Sequoiausher
