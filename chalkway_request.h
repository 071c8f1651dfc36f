#ifndef CHALKWAY_REQUEST_H
#define CHALKWAY_REQUEST_H
/*
    chalkway_request.h -- life of one request, from accept to last byte

    WHAT IT IS
        The state machine that owns a request at its entry. Events go in,
        a set of actions comes out; the outcome told to the caller follows
        from the recorded facts in one place, cw_request_outcome.

            state        what is true
            new          accepted, nothing asked for
            waiting      a want is with the allocator
            connecting   a slot is held; no byte has left for an upstream
            sent         the request's bytes have begun to leave
            streaming    the answer has begun to come
            detached     the caller was told or is gone; a non-repeatable call runs on
            ended        an outcome is fixed

    HOW TO USE IT
            cw_request_t r = cw_request_new(&(cw_request_desc_t){.repeatable = true, .max_attempts = 3});
            uint32_t todo = cw_request_event(&r, CW_EV_START);
            if (todo & CW_DO_WANT) { ... }

    WHAT IT DOES NOT DO
        No timers, sockets or bodies. Whether a retry fits the budget is
        asked of the owner by the retry_allowed flag before the event.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

typedef enum cw_request_state_t {
    CW_REQ_NEW = 0,
    CW_REQ_WAITING,
    CW_REQ_CONNECTING,
    CW_REQ_SENT,
    CW_REQ_STREAMING,
    CW_REQ_DETACHED,
    CW_REQ_ENDED,
    CW_REQ_STATE_COUNT
} cw_request_state_t;

typedef enum cw_request_event_t {
    CW_EV_START = 0,      /* ask the allocator */
    CW_EV_GRANT,          /* a slot, from the allocator or by direct mode */
    CW_EV_REFUSED,        /* by the allocator or by a limit of the entry */
    CW_EV_SENDING,        /* the first byte is about to leave */
    CW_EV_GRANT_EXPIRED,  /* the grant was found too old before the first byte left */
    CW_EV_CONNECT_FAILED, /* no byte left */
    CW_EV_BROKEN,         /* the upstream failed after bytes left */
    CW_EV_REJECTED,       /* the upstream says that it did not run what this transfer sent */
    CW_EV_HEAD,           /* the answer's status and headers came */
    CW_EV_DELIVERED_PART, /* a byte of the answer was passed to the caller */
    CW_EV_END,            /* the upstream's own end of the answer was seen */
    CW_EV_PREEMPTED,      /* the allocator wants the slot back */
    CW_EV_DEADLINE,
    CW_EV_GONE, /* the caller closed its connection */
    CW_EV_COUNT
} cw_request_event_t;

/* Actions, in the order in which they are to be done. */
enum {
    CW_DO_ABORT = 1,       /* cancel the transfer to the upstream */
    CW_DO_RETURN = 2,      /* give the slot back (done report) */
    CW_DO_WITHDRAW = 4,    /* cancel the want */
    CW_DO_WANT = 8,        /* send a want */
    CW_DO_CONNECT = 16,    /* start the transfer */
    CW_DO_RETURN_NEW = 32, /* give back the slot just granted: it is not needed */
    CW_DO_ANSWER = 64      /* tell the caller the outcome (complete, break or refuse) */
};

typedef enum cw_outcome_t {
    CW_OUTCOME_NONE = 0,
    CW_OUTCOME_DELIVERED, /* the whole answer, its end seen */
    CW_OUTCOME_NOT_RUN,   /* no byte left for any upstream */
    CW_OUTCOME_FAILED,    /* it ran; the answer is lost or partial */
    CW_OUTCOME_UNKNOWN,   /* bytes left and no answer came */
    CW_OUTCOME_COUNT
} cw_outcome_t;

typedef struct cw_request_desc_t {
    bool repeatable;       /* the class allows a second run */
    bool resumable;        /* a cut stream can be continued where it was cut */
    bool cancel_when_gone; /* also a run that may not be repeated is cancelled when nobody waits for it */
    bool count_sent;       /* a transfer counts as an attempt only when its bytes began to leave */
    uint32_t max_attempts; /* transfers in all, default 3 */
} cw_request_desc_t;

typedef struct cw_request_t {
    cw_request_state_t state;
    bool repeatable;
    bool resumable;
    bool cancel_when_gone;
    bool count_sent;
    bool retry_allowed; /* set by the owner: the retry budget has room */
    bool bytes_left;    /* for an upstream, in any attempt that it did not reject */
    bool left_before;   /* bytes_left when the transfer at hand began */
    bool answer_begun;  /* a head came, in any attempt */
    bool part_passed;   /* a byte of the answer reached the caller */
    bool whole;         /* the end of the answer was seen */
    uint32_t attempts;
    uint32_t max_attempts;
} cw_request_t;

cw_request_t cw_request_new(const cw_request_desc_t* desc);
/* Returns a set of CW_DO_... */
uint32_t cw_request_event(cw_request_t* request, cw_request_event_t event);
/* What may truthfully be said of the request now. */
cw_outcome_t cw_request_outcome(const cw_request_t* request);
const char* cw_request_state_name(cw_request_state_t state);
const char* cw_request_event_name(cw_request_event_t event);
/* As in the header Chalkway-Outcome: delivered, not-run, failed, unknown. */
const char* cw_outcome_name(cw_outcome_t outcome);

#endif /* CHALKWAY_REQUEST_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_REQUEST_IMPL_INCLUDED
#define CHALKWAY_REQUEST_IMPL_INCLUDED

#include <assert.h>

cw_request_t cw_request_new(const cw_request_desc_t* desc) {
    return (cw_request_t){.repeatable = desc->repeatable,
                          .resumable = desc->resumable,
                          .cancel_when_gone = desc->cancel_when_gone,
                          .count_sent = desc->count_sent,
                          .max_attempts = desc->max_attempts ? desc->max_attempts : 3,
                          .retry_allowed = true};
}

const char* cw_request_state_name(cw_request_state_t state) {
    static const char* const names[CW_REQ_STATE_COUNT] = {"new",       "waiting",  "connecting", "sent",
                                                          "streaming", "detached", "ended"};
    return ((unsigned)state < CW_REQ_STATE_COUNT) ? names[state] : "?";
}

const char* cw_request_event_name(cw_request_event_t event) {
    static const char* const names[CW_EV_COUNT] = {
        "start",    "grant", "refused",        "sending", "grant-expired", "connect-failed", "broken",
        "rejected", "head",  "delivered-part", "end",     "preempted",     "deadline",       "gone"};
    return ((unsigned)event < CW_EV_COUNT) ? names[event] : "?";
}

const char* cw_outcome_name(cw_outcome_t outcome) {
    static const char* const names[CW_OUTCOME_COUNT] = {"none", "delivered", "not-run", "failed", "unknown"};
    return ((unsigned)outcome < CW_OUTCOME_COUNT) ? names[outcome] : "?";
}

cw_outcome_t cw_request_outcome(const cw_request_t* r) {
    if (r->whole) {
        return CW_OUTCOME_DELIVERED;
    }
    if (!r->bytes_left) {
        return CW_OUTCOME_NOT_RUN;
    }
    return r->answer_begun ? CW_OUTCOME_FAILED : CW_OUTCOME_UNKNOWN;
}

/* Another attempt is right when nothing ran, or a second run is allowed and the caller has seen nothing of the first or
   the second continues where the first was cut. */
static bool _cw_request_may_retry(const cw_request_t* r) {
    bool safe = !r->bytes_left || (r->repeatable && (!r->part_passed || r->resumable));
    return safe && r->retry_allowed && r->attempts < r->max_attempts;
}

static bool _cw_request_holds_slot(const cw_request_t* r) {
    return r->state == CW_REQ_CONNECTING || r->state == CW_REQ_SENT || r->state == CW_REQ_STREAMING ||
           r->state == CW_REQ_DETACHED;
}

/* Ends the request from any state, undoing what the state holds. */
static uint32_t _cw_request_end(cw_request_t* r, uint32_t todo) {
    if (r->state == CW_REQ_WAITING) {
        todo |= CW_DO_WITHDRAW;
    }
    if (_cw_request_holds_slot(r)) {
        todo |= CW_DO_ABORT | CW_DO_RETURN;
    }
    r->state = CW_REQ_ENDED;
    return todo;
}

static uint32_t _cw_request_again(cw_request_t* r) {
    r->state = CW_REQ_WAITING;
    return CW_DO_ABORT | CW_DO_RETURN | CW_DO_WANT;
}

/* The attempt is over without an answer: try again where that is safe, else end. */
static uint32_t _cw_request_attempt_failed(cw_request_t* r) {
    if (r->state != CW_REQ_DETACHED && _cw_request_may_retry(r)) {
        return _cw_request_again(r);
    }
    return _cw_request_end(r, CW_DO_ANSWER);
}

static uint32_t _cw_request_gone(cw_request_t* r) {
    bool runs = r->state == CW_REQ_SENT || r->state == CW_REQ_STREAMING;
    if (runs && !r->repeatable && !r->cancel_when_gone) {
        r->state = CW_REQ_DETACHED;
        return 0;
    }
    return _cw_request_end(r, 0);
}

/* A non-repeatable call that runs is left to its end, so that its answer is there for a repeat. */
static uint32_t _cw_request_deadline(cw_request_t* r) {
    bool runs = r->state == CW_REQ_SENT || r->state == CW_REQ_STREAMING;
    if (runs && !r->repeatable && !r->cancel_when_gone) {
        r->state = CW_REQ_DETACHED;
        return CW_DO_ANSWER;
    }
    return r->state == CW_REQ_DETACHED ? 0 : _cw_request_end(r, CW_DO_ANSWER);
}

static uint32_t _cw_request_preempted(cw_request_t* r) {
    if (r->state == CW_REQ_CONNECTING) {
        return _cw_request_again(r);
    }
    if (r->repeatable && (r->state == CW_REQ_SENT || r->state == CW_REQ_STREAMING)) {
        return _cw_request_attempt_failed(r);
    }
    return 0;
}

uint32_t cw_request_event(cw_request_t* r, cw_request_event_t event) {
    if (r->state == CW_REQ_ENDED) {
        return event == CW_EV_GRANT ? CW_DO_RETURN_NEW : 0;
    }
    switch (event) {
        case CW_EV_START:
            assert(r->state == CW_REQ_NEW);
            r->state = CW_REQ_WAITING;
            return CW_DO_WANT;
        case CW_EV_GRANT:
            if (r->state != CW_REQ_WAITING) {
                return CW_DO_RETURN_NEW;
            }
            r->state = CW_REQ_CONNECTING;
            r->attempts += !r->count_sent;
            return CW_DO_CONNECT;
        case CW_EV_REFUSED:
            if (r->state == CW_REQ_WAITING || r->state == CW_REQ_NEW) {
                r->state = CW_REQ_ENDED;
                return CW_DO_ANSWER;
            }
            return 0;
        case CW_EV_SENDING:
            if (r->state == CW_REQ_CONNECTING) {
                r->state = CW_REQ_SENT;
                r->left_before = r->bytes_left;
                r->bytes_left = true;
                r->attempts += r->count_sent;
            }
            return 0;
        case CW_EV_GRANT_EXPIRED:
            return r->state == CW_REQ_CONNECTING ? _cw_request_again(r) : 0;
        case CW_EV_CONNECT_FAILED:
            return r->state == CW_REQ_CONNECTING ? _cw_request_attempt_failed(r) : 0;
        case CW_EV_BROKEN:
            return _cw_request_holds_slot(r) ? _cw_request_attempt_failed(r) : 0;
        case CW_EV_REJECTED:
            if (r->state != CW_REQ_SENT) {
                return 0;
            }
            r->bytes_left = r->left_before;
            return _cw_request_attempt_failed(r);
        case CW_EV_HEAD:
            if (r->state == CW_REQ_SENT) {
                r->state = CW_REQ_STREAMING;
            }
            r->answer_begun = true;
            return 0;
        case CW_EV_DELIVERED_PART:
            r->part_passed = true;
            return 0;
        case CW_EV_END:
            if (r->state != CW_REQ_STREAMING && r->state != CW_REQ_DETACHED) {
                return 0;
            }
            r->whole = true;
            r->state = CW_REQ_ENDED;
            return CW_DO_RETURN | CW_DO_ANSWER;
        case CW_EV_PREEMPTED:
            return _cw_request_preempted(r);
        case CW_EV_DEADLINE:
            return _cw_request_deadline(r);
        case CW_EV_GONE:
            return _cw_request_gone(r);
        case CW_EV_COUNT:
            break;
    }
    return 0;
}

#endif /* CHALKWAY_REQUEST_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
