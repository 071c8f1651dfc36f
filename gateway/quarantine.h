#ifndef CW_GATEWAY_QUARANTINE_H
#define CW_GATEWAY_QUARANTINE_H
/*
    Quarantine of requests that crash servers (chalkway_quarantine.h), at this daemon. It derives observations from
    this daemon's broken connections and publishes them, applies those of other daemons and logs changed verdicts.

    A connection that breaks while a request runs counts as a crash of the server at once. The crash is revoked when
    the server sends data on a connection that was opened before: then the connection broke, and not the server.
*/
#include "../chalkway_log.h"
#include "../chalkway_quarantine.h"
#include "upstream.h"

typedef struct quarantine_t quarantine_t;

typedef struct quarantine_desc_t {
    const cw_log_t* log;
    upstreams_t* upstreams;
    uint32_t entries, retention_ms; /* as in cw_quarantine_desc_t */
    /* Publish the observation to the other daemons at once. */
    void (*on_observation)(void* user_data, const cw_quarantine_observation_t* observation);
    /* The request is quarantined from now on; its queued and running exchanges at this daemon must be ended. */
    void (*on_quarantined)(void* user_data, const cw_fingerprint_t* request);
    void* user_data;
} quarantine_desc_t;

typedef struct quarantine_stats_t {
    cw_quarantine_stats_t requests;
    /* observations_sent: of this daemon, published because they were new; observations_received: of other daemons, new
       when applied. */
    uint64_t observations_sent, observations_received;
    uint64_t requests_quarantined; /* requests refused because they are quarantined */
} quarantine_stats_t;

quarantine_t* quarantine_setup(const quarantine_desc_t* desc);
void quarantine_shutdown(quarantine_t* q);
/* The verdict on a request that is about to be assigned to a server. */
cw_verdict_t quarantine_check(quarantine_t* q, const cw_fingerprint_t* request);
/* Counts and logs a request that was refused because it is quarantined. */
void quarantine_record_refusal(quarantine_t* q, const cw_fingerprint_t* request, const char* id,
                               const cw_verdict_t* verdict);
/* A request on trial is about to be sent to the server. */
void quarantine_on_trial(quarantine_t* q, const cw_fingerprint_t* request, const server_t* server);
/* The connection to the server broke while the request ran there: the server is presumed crashed. */
void quarantine_on_crash(quarantine_t* q, const cw_fingerprint_t* request, server_t* server);
/* The request got a complete response: clears it of all suspicion. */
void quarantine_on_response(quarantine_t* q, const cw_fingerprint_t* request);
/* The server sent data after its presumed crash. */
void quarantine_on_server_alive(quarantine_t* q, const server_t* server);
/* Applies an observation of another daemon. */
void quarantine_on_observation(quarantine_t* q, const cw_quarantine_observation_t* observation);
/* Detects requests that have become quarantined. */
void quarantine_tick(quarantine_t* q);
/* Observations to publish again, from index *at on. */
uint32_t quarantine_observations(quarantine_t* q, uint32_t* at, cw_quarantine_observation_t* out, uint32_t max);
/* Writes the requests under suspicion as a JSON document. */
void quarantine_write_json(quarantine_t* q, cw_buffer_t* out);
/* An operator releases a request. fingerprint and workspace are in hex, as the log and quarantine_write_json show them.
   All observations of the request are cleared, here and at the other daemons. False: it had none. */
bool quarantine_release(quarantine_t* q, const char* fingerprint, const char* workspace);
quarantine_stats_t quarantine_stats(const quarantine_t* q);

#endif
