#ifndef CW_GATEWAY_QUARANTINE_H
#define CW_GATEWAY_QUARANTINE_H
/*
    Quarantine of requests, and of parts of prompts, that crash servers (chalkway_quarantine.h), at this daemon. It
    derives observations from this daemon's broken connections and publishes them, applies those of other daemons and
    logs changed verdicts.

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
    /* Publish the observations, at most CW_SUSPECTS_MAX, to the other daemons at once. */
    void (*on_observations)(void* user_data, const cw_quarantine_observation_t* observations, uint32_t count);
    /* Verdicts may have changed: exchanges of this daemon that are quarantined now must be ended. */
    void (*on_verdicts_changed)(void* user_data);
    void* user_data;
} quarantine_desc_t;

typedef struct quarantine_stats_t {
    cw_quarantine_stats_t suspects;
    /* observations_sent: of this daemon, published because they were new; observations_received: of other daemons, new
       when applied. */
    uint64_t observations_sent, observations_received;
    uint64_t requests_quarantined; /* requests refused because they are quarantined */
} quarantine_stats_t;

quarantine_t* quarantine_setup(const quarantine_desc_t* desc);
void quarantine_shutdown(quarantine_t* q);
/* The verdict on a request that is about to be assigned to a server of the pool. */
cw_verdict_t quarantine_check(quarantine_t* q, const cw_suspects_t* suspects, const pool_t* pool);
/* Counts and logs a request that was refused because of its verdict. */
void quarantine_record_refusal(quarantine_t* q, const char* id, const cw_verdict_t* verdict);
/* Claims the trials of the parts that the verdict names, under suspects->claim. */
void quarantine_claim(quarantine_t* q, const cw_suspects_t* suspects, const cw_verdict_t* verdict, const pool_t* pool);
/* A request whose content is on trial is about to be sent to the server. */
void quarantine_on_trial(quarantine_t* q, const cw_suspects_t* suspects, const server_t* server);
/* The connection to the server broke while the request ran there: the server is presumed crashed. Its response had got
   as far as the phase. */
void quarantine_on_crash(quarantine_t* q, const cw_suspects_t* suspects, cw_run_phase_t phase, server_t* server);
/* The server has survived the start of a response, which began at began_ms: clears the parts of the prompt, and halves
   the weight of the content's crashes. */
void quarantine_on_response_started(quarantine_t* q, const cw_suspects_t* suspects, const server_t* server,
                                    int64_t began_ms);
/* The request got a complete response, which began at began_ms: clears all its suspects. */
void quarantine_on_response(quarantine_t* q, const cw_suspects_t* suspects, const pool_t* pool, int64_t began_ms);
/* The server sent data after its presumed crash. */
void quarantine_on_server_alive(quarantine_t* q, const server_t* server);
/* Applies an observation of another daemon. */
void quarantine_on_observation(quarantine_t* q, const cw_quarantine_observation_t* observation);
/* Detects suspects that have become quarantined. */
void quarantine_tick(quarantine_t* q);
/* Observations to publish again, from index *at on. */
uint32_t quarantine_observations(quarantine_t* q, uint32_t* at, cw_quarantine_observation_t* out, uint32_t max);
/* Writes the suspects as a JSON document. */
void quarantine_write_json(quarantine_t* q, cw_buffer_t* out);
/* An operator releases a suspect. fingerprint and workspace are in hex, as the log and quarantine_write_json show them;
   workspace "part": fingerprint is the id of a part. All observations of the suspect are cleared, here and at the other
   daemons. False: it had none. */
bool quarantine_release(quarantine_t* q, const char* fingerprint, const char* workspace);
quarantine_stats_t quarantine_stats(const quarantine_t* q);

#endif
