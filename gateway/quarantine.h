#ifndef CW_GATEWAY_QUARANTINE_H
#define CW_GATEWAY_QUARANTINE_H
/*
    Requests under which servers end (chalkway_quarantine.h), at this daemon: what its own broken connections and other
    daemons' marks say, which marks are told to the others, and what is logged of it.

    A connection that broke while a request was there counts as the server's end at once. It is taken back when the
    server goes on over a connection that was open before: then the connection broke, and not the server.
*/
#include "../chalkway_log.h"
#include "../chalkway_quarantine.h"
#include "upstream.h"

typedef struct quarantine_t quarantine_t;

typedef struct quarantine_desc_t {
    const cw_log_t* log;
    upstreams_t* upstreams;
    uint32_t entries, keep_ms; /* as in cw_quarantine_desc_t */
    /* Tell the others at once. */
    void (*on_mark)(void* user_data, const cw_mark_t* mark);
    /* The request is held from now on: what waits or runs of it here is given up. */
    void (*on_held)(void* user_data, const cw_fingerprint_t* request);
    void* user_data;
} quarantine_desc_t;

typedef struct quarantine_stats_t {
    cw_quarantine_stats_t requests;
    uint64_t told, heard; /* marks that were new to the others, or here */
    uint64_t held_back;   /* requests that were answered as held */
} quarantine_stats_t;

quarantine_t* quarantine_setup(const quarantine_desc_t* desc);
void quarantine_shutdown(quarantine_t* q);
/* What may be done with a request that is about to look for a server. */
cw_verdict_t quarantine_check(quarantine_t* q, const cw_fingerprint_t* request);
/* A request was answered as held. */
void quarantine_record_blocked(quarantine_t* q, const cw_fingerprint_t* request, const char* id,
                               const cw_verdict_t* verdict);
/* A request on trial is about to be sent to the server. */
void quarantine_on_trial(quarantine_t* q, const cw_fingerprint_t* request, const server_t* server);
/* The connection to the server broke while the request was there. */
void quarantine_on_crash(quarantine_t* q, const cw_fingerprint_t* request, server_t* server);
/* The request was answered whole. */
void quarantine_on_response(quarantine_t* q, const cw_fingerprint_t* request);
/* The server goes on after what was taken for its end. */
void quarantine_on_alive(quarantine_t* q, const server_t* server);
/* Another daemon's mark. */
void quarantine_on_mark(quarantine_t* q, const cw_mark_t* mark);
/* Finds which requests have come to be held. */
void quarantine_tick(quarantine_t* q);
/* Marks to be told again, from place *at on. */
uint32_t quarantine_marks(quarantine_t* q, uint32_t* at, cw_mark_t* out, uint32_t max);
/* The requests under suspicion as a JSON document. */
void quarantine_write(quarantine_t* q, cw_buffer_t* out);
/* An operator's word that a request is no danger, by its fingerprint and the id of its workspace as the log and
   quarantine_write tell them, in hex: what counted against it goes, here and at the others. False: nothing did. */
bool quarantine_release(quarantine_t* q, const char* fingerprint, const char* workspace);
quarantine_stats_t quarantine_stats(const quarantine_t* q);

#endif
