#ifndef CW_TEST_RIG_ROUTES_H
#define CW_TEST_RIG_ROUTES_H
/* A catalog for the test rig with one pool, "p", and a route of each kind: "call" (once), "again" (repeatable),
   "stream", and "resume", a stream that can be resumed. */

#define RIG_ROUTE(name, kind, timeout_ms, more)                                                                        \
    "{\"name\":\"" name "\",\"host\":\"h.example\",\"prefix\":\"/" name "/\",\"kind\":\"" kind "\"," more              \
    "\"timeout_ms\":" timeout_ms ",\"target_ms\":2000,\"gap_ms\":500,\"attempts\":2,\"open\":true,"                    \
    "\"pools\":[{\"pool\":\"p\"}]}"
/* timeout_ms: of all routes, a string literal. */
#define RIG_ROUTES(timeout_ms)                                                                                         \
    "{\"revision\":1,\"pools\":[{\"name\":\"p\",\"health\":\"/health\"}],\"routes\":[" RIG_ROUTE(                      \
        "call", "once", timeout_ms,                                                                                    \
        "") "," RIG_ROUTE("again", "repeatable", timeout_ms,                                                           \
                          "") "," RIG_ROUTE("stream", "stream", timeout_ms,                                            \
                                            "") "," RIG_ROUTE("resume", "stream", timeout_ms, "\"resume\":true,") "]}"
/* A request without a body, with id "q1". */
#define CALL(route)                                                                                                    \
    "POST /" route "/ HTTP/1.1\r\nHost: h.example\r\nChalkway-Request-Id: q1\r\nContent-Length: 0\r\n\r\n"

#endif
