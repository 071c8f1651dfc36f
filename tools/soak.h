#ifndef CW_TOOLS_SOAK_H
#define CW_TOOLS_SOAK_H
/*
    Shared by the programs of the soak test: the kinds of requests, the record that callers, upstreams and the soak
    itself write, and the checks of a complete record.

    The record is text, one event per line, with times in ms of the machine's monotonic clock:

        C MS sent ID KIND HOST TOKENS BODY [RESUMES]
                                           a request was sent completely to a host; BODY: "-", or the name of a query of
                                           death, a body, or with "part-" a part of prompts, that crashes every
                                           upstream which begins to run it; RESUMES:
                                           it resumes the stream that this request began
        C MS events ID FROM TO VERSION RUN AFTER
                                           the response brought the events FROM..TO of a stream, from a run of an
                                           upstream that began after event AFTER. VERSION 0: no upstream
                                           sends this text in this stream
        C MS done ID STATUS WHOLE RIGHT FIRST_MS HELD
                                           the response ended, or the connection closed (status 0). WHOLE 1: the
                                           response is complete; RIGHT 1: its body is correct; FIRST_MS: from
                                           sending to the first byte of the body; HELD 1: refused since servers
                                           crashed under such requests (quarantined)
        C MS left ID                       the caller abandoned the request
        U MS begin ID SERVER PRIORITY TOKENS, U MS end ID SERVER, U MS gone ID SERVER
                                           a request begins to run, completes, or ends early since its connection
                                           closed
        U MS reach ID SERVER, U MS died ID SERVER
                                           a query of death arrived at an upstream; the upstream crashes while
                                           running it
        U MS came ID SERVER, U MS rate - SERVER PER_S, U MS named ID SERVER, U MS parts ID SERVER,
        U MS away ID SERVER REST_MS        arrivals at upstreams and their server pushback: an advertised rate,
                                           responses that advertise it, responses that announce leaving, and
                                           refusals that request a backoff (standins/fake_upstream.c)
        U MS fell - SERVER                 an upstream under strain ends, because it rejected too many requests
        S MS fault NAME TARGET             a fault begins
        S MS over NAME TARGET              the fault ends
        S MS up SERVER SLOTS [VERSION], S MS leaves SERVER, S MS down SERVER
                                           state of a server as published; SLOTS is 0 for a service; VERSION is that
                                           of its software
        S MS started HOST, S MS ended HOST CODE
                                           a host's process starts or exits; CODE 128 or more: killed by a signal
        S MS calm, S MS finish             no further faults are injected; the callers stop
*/
#include <stdint.h>

#include "../chalkway_core.h"

/* A kind of request, with its route and its share of the load. */
typedef struct soak_kind_t {
    const char* name;
    const char* path;       /* path prefix of its route */
    const char* route_kind; /* value in the catalog */
    bool is_resumable;
    uint32_t tier, target_ms, timeout_ms;
    uint32_t tokens_min, tokens_max; /* prompt length; 0: a plain call without a prompt */
    uint32_t events;                 /* number of events in the response; streams only */
    double share;                    /* fraction of all requests */
} soak_kind_t;

#define SOAK_KINDS 6
extern const soak_kind_t soak_kinds[SOAK_KINDS];
/* Returns the index of the kind, or -1 if the name is unknown. */
int soak_find_kind(const char* name);

/* The checks of a record, each named after the violation that it finds. */
typedef enum soak_check_t {
    SOAK_RAN_TWICE = 0,      /* a request that is not repeatable ran more than once */
    SOAK_RAN_AFTER_REFUSAL,  /* a request ran although it had been refused as not run */
    SOAK_WRONG_RESPONSE,     /* a complete response has the wrong body for its request */
    SOAK_LOST_ON_STOP,       /* a planned stop of a host left a request without a response */
    SOAK_REFUSED_WHILE_IDLE, /* a request was refused in a calm period while many engines were idle */
    SOAK_PRIORITY_INVERSION, /* refused in a calm period while larger, less urgent prompts began to run */
    SOAK_SENT_TO_LEAVING,    /* a server got a new request long after it was published as leaving */
    SOAK_RAN_AFTER_CANCEL,   /* upstreams kept running a request long after its caller abandoned it */
    SOAK_UNCLEAN_EXIT,       /* a host did not exit cleanly after SIGTERM, or exited unexpectedly */
    SOAK_RECOVERY,           /* too small a share of the requests of calm periods was served */
    SOAK_QUERY_OF_DEATH,     /* a body that crashed three upstreams keeps reaching upstreams */
    SOAK_FALSE_QUARANTINE,   /* an ordinary request was quarantined as a query of death, though it had not run on three
                                upstreams as they ended */
    SOAK_RATE_EXCEEDED,      /* an upstream got requests faster than the rate that it advertised */
    SOAK_BACKOFF_IGNORED,    /* an upstream got too many requests from a host during a requested backoff */
    SOAK_FELL_UNDER_STRAIN,  /* too many upstreams ended by rejections while they advertised a limit on them */
    SOAK_VERSIONS_MIXED,     /* a stream holds events from upstreams of two software versions */
    SOAK_LEAVING_IGNORED,    /* an upstream got a request long after it had announced leaving to the host */
    SOAK_ENDED_BY_SILENCE,   /* a response ended early although its sound upstream was merely silent for a while */
    SOAK_EVENT_MISSING,      /* a stream lacks an event that precedes one that it holds */
    SOAK_EVENT_TWICE,        /* a stream holds an event twice */
    SOAK_OUT_OF_ORDER,       /* an event of a stream arrived after a later one */
    SOAK_RUNS_JOINED,        /* a stream holds text of several runs, joined where none of them may go on */
    SOAK_ENDED_EARLY,        /* a stream ended as complete before its last event */
    SOAK_CHECK_COUNT
} soak_check_t;

/* Streams that callers took up after a break, while two upstreams of the version that began them were in service. */
typedef struct soak_take_ups_t {
    uint32_t count;   /* streams */
    uint32_t gone_on; /* that brought further events or their end */
    uint32_t refused; /* whose requests were all refused */
} soak_take_ups_t;

typedef struct soak_result_t {
    uint32_t count[SOAK_CHECK_COUNT];                  /* findings of each check */
    char first_finding[SOAK_CHECK_COUNT][160];         /* of each check, as text */
    uint32_t sent, served, refused, failed, abandoned; /* ordinary requests only */
    /* Queries of death: number of bodies, of requests with these bodies, and of upstreams that they crashed. */
    uint32_t qod_bodies, qod_sent, qod_crashes;
    uint32_t resumed,
        resumed_served; /* streams that callers resumed after a break, and those of them that were completed */
    uint32_t calm_sent, calm_served, calm_refused;
    uint32_t host_losses; /* moments at which no host was left */
    /* First index 1: all hosts were lost between the stream's first request and that which took it up; second index 1:
       several versions of engines were in service. */
    soak_take_ups_t take_ups[2][2];
} soak_result_t;

const char* soak_check_name(soak_check_t check);
/* Number of findings that a check tolerates; it fails beyond that. */
uint32_t soak_check_allowed(soak_check_t check);
/* Runs all checks on a record. grace_ms and drain_ms are the values in the hosts' settings. */
soak_result_t soak_check_record(const char* record, uint32_t grace_ms, uint32_t drain_ms);
/* Returns whether any check has more findings than it tolerates. */
bool soak_has_failed(const soak_result_t* result);

#endif
