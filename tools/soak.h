#ifndef CW_TOOLS_SOAK_H
#define CW_TOOLS_SOAK_H
/*
    What the soak's programs share: the kinds of requests, the records that callers, upstreams and the soak itself
   write, and the checks of a whole record.

    The record is text, one event a line, times in ms of the machine's monotonic clock:

        C MS sent ID KIND HOST TOKENS BODY the last byte of a request has left for a host; BODY: "-", or the name of a
                                           deadly one, which ends every upstream that begins to run it
        C MS done ID STATUS WHOLE RIGHT FIRST_MS HELD
                                           its answer, or the connection's end (status 0); FIRST_MS after it was sent;
                                           HELD 1: refused since servers ended under such a request
        C MS left ID                       the caller gave it up
        U MS begin ID SERVER PRIORITY TOKENS, U MS end ID SERVER, U MS gone ID SERVER
        U MS reach ID SERVER, U MS died ID SERVER
                                           a deadly request came to an upstream; the upstream ends under it
        U MS came ID SERVER, U MS rate - SERVER PER_S, U MS named ID SERVER, U MS parts ID SERVER,
        U MS away ID SERVER REST_MS        what upstreams asked of hosts (standins/fake_upstream.c)
        S MS fault NAME TARGET             something is brought about, until
        S MS over NAME TARGET              it ends
        S MS up SERVER SLOTS, S MS leaves SERVER, S MS down SERVER
                                           servers as published, slots 0 for a service
        S MS started HOST, S MS ended HOST CODE
                                           a host's process; CODE 128 and more: ended by a signal
        S MS calm, S MS finish             from here on nothing more is brought about; the callers stop
*/
#include <stdint.h>

#include "../chalkway_core.h"

/* A kind of request. */
typedef struct soak_kind_t {
    const char* name;
    const char* path;       /* prefix of its route */
    const char* route_kind; /* as in the catalog */
    bool is_resumable;
    uint32_t tier, target_ms, timeout_ms;
    uint32_t tokens_min, tokens_max; /* of the prompt, 0: a plain call */
    uint32_t events;
    double share; /* of all requests */
} soak_kind_t;

#define SOAK_KINDS 5
extern const soak_kind_t soak_kinds[SOAK_KINDS];
/* Index of the kind, -1 when there is none. */
int soak_find_kind(const char* name);

/* What a record was found to break, by check. */
typedef enum soak_check_t {
    SOAK_RAN_TWICE = 0,      /* a request that may not be repeated ran more than once */
    SOAK_RAN_AFTER_REFUSAL,  /* told as not run, and ran */
    SOAK_WRONG_RESPONSE,     /* an answer that was taken as whole is not the request's */
    SOAK_LOST_ON_STOP,       /* a host that was stopped as planned left a request without an answer */
    SOAK_REFUSED_WHILE_IDLE, /* refused in calm seconds while many engines had nothing to do */
    SOAK_PRIORITY_INVERSION, /* refused in calm seconds while larger, less urgent prompts began */
    SOAK_SENT_TO_LEAVING,    /* a server got something new long after it was published as leaving */
    SOAK_RAN_AFTER_CANCEL,   /* upstreams worked on long after the caller had left */
    SOAK_UNCLEAN_EXIT,       /* a host did not end in order after it was told to stop, or ended by itself */
    SOAK_RECOVERY,           /* after the last fault too few are served */
    SOAK_QUERY_OF_DEATH,     /* a body under which three upstreams ended goes on reaching upstreams */
    SOAK_FALSE_QUARANTINE,   /* an ordinary request was held back as one that ends upstreams */
    SOAK_RATE_EXCEEDED,      /* an upstream got more than the rate that it named */
    SOAK_BACKOFF_IGNORED,    /* or too much from a host that it had asked for rest */
    SOAK_LEAVING_IGNORED,    /* or something long after it had told the host that it leaves */
    SOAK_CHECK_COUNT
} soak_check_t;

typedef struct soak_result_t {
    uint32_t count[SOAK_CHECK_COUNT];
    char first_finding[SOAK_CHECK_COUNT][160];         /* the first finding of each */
    uint32_t sent, served, refused, failed, abandoned; /* of ordinary requests */
    uint32_t qod_bodies, qod_sent, qod_crashes;        /* ended: upstreams, under all of the bodies */
    uint32_t calm_sent, calm_served, calm_refused;
} soak_result_t;

const char* soak_check_name(soak_check_t check);
/* Findings beyond which a check has failed. */
uint32_t soak_check_allowed(soak_check_t check);
/* Judges a record. grace_ms and drain_ms as in the hosts' settings. */
soak_result_t soak_check_record(const char* record, uint32_t grace_ms, uint32_t drain_ms);
/* Whether any check has failed. */
bool soak_has_failed(const soak_result_t* result);

#endif
