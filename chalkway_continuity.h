#ifndef CHALKWAY_CONTINUITY_H
#define CHALKWAY_CONTINUITY_H
/*
    chalkway_continuity.h -- whether a server may have started again unnoticed

    WHAT IT IS
        A server that starts again under its id and address may run another
        version of its software, while the list of servers still names the
        previous one. This module decides from connections whether that can
        have happened.

        A host may have stood still, so it reads late what arrived meanwhile:
        an end has an earliest and a latest time, and data counts as heard when
        it can have arrived at the earliest.

        Doubt begins when a connection ends that the server should have kept
        open, when a connection is refused, or, at a host that has no
        connection to the server, when another host reports a failure. It
        ends in one of three ways:

        - A connection that was opened before brings data a while later: the
          server has not ended.
        - A new connection opens so soon after the server was last heard that
          it has hardly started again in between, unless a connection was
          closed, not reset, and another host has seen the server end at that
          time; or another host connects to it just after this
          host has lost it, at a time when only the path from this host is
          broken.
        - A list that was current CW_CONTINUITY_PUBLISH_MS after the server
          was reached again is in use, and the source was not away meanwhile.
          It describes the process that has been reached, or names a new
          incarnation.

        A server to which this host had no connection since an old list was
        current is doubted once it is reached: nobody here would have noticed
        that it ended.

        Reports alone (is_reported) come also from hosts whose own network path
        is broken. They are a reason to resume streams elsewhere, not to begin
        none there; the version of those that begin is unknown.

        A list that was current before the server was reached proves nothing:
        the server may have been down then, and listed still. Nor does the
        first list after the source was away: a server that started meanwhile
        has yet to write its entry.

    HOW TO USE IT
            cw_continuity_t c = {0};
            cw_continuity_on_opened(&c, now_ms, heard_ms);        // each connection, once it is open
            cw_continuity_on_end(&c, from_ms, now_ms, heard_ms, was_closed); // it ended between from_ms and now_ms
            cw_continuity_on_closed(&c);                          // each open connection, whoever closed it
            cw_continuity_on_data(&c, now_ms, opened_ms);
            cw_continuity_on_list(&c, confirmed_ms, since_ms);    // the list in use was current then
            if (c.is_doubted) { ... }

    WHAT IT DOES NOT DO
        It doesn't notice a server that starts again while no host has a
        connection to it and the list is fresh, until its entry is read.

    LICENCE
        MIT, see LICENSE.
*/
#include "chalkway_core.h"

/* Time in which a server that has been reached appears in the list. It writes its entry when it starts and with each
   heartbeat, and two of these attempts may fail. */
#define CW_CONTINUITY_PUBLISH_MS 2500
/* Without a connection to the server, a list that was current longer ago than this doesn't show which process runs. */
#define CW_CONTINUITY_OLD_MS 1000
/* The source was away if the list was not confirmed for longer than this. */
#define CW_CONTINUITY_AWAY_MS 1500

/* What is known of one server. All zero: nothing speaks against the list. Times in ms, 0: never. */
typedef struct cw_continuity_t {
    uint32_t conns;     /* open connections of this host */
    bool is_doubted;    /* the server may have started again */
    bool was_refused;   /* it refused a connection since it is doubted, so it has ended */
    bool is_reported;   /* only another host has seen it end */
    bool was_closed;    /* a connection that ended was closed by the server, not reset, as a broken path may do */
    int64_t alive_ms;   /* it had not ended then; connections that opened later may lead to another process */
    int64_t ended_ms;   /* latest time at which it may have ended */
    int64_t reached_ms; /* when the first connection since then opened */
    int64_t proven_ms;  /* until then, nothing is doubted any more */
    int64_t report_ms;  /* latest failure that another host has reported */
    int64_t run_on_ms;  /* the server was reached at once then, so that it seemed to have run on */
} cw_continuity_t;

/* A connection has opened. heard_ms: when the last data of the server arrived at the earliest, 0: unknown. Returns
   whether that ends the doubt. */
bool cw_continuity_on_opened(cw_continuity_t* c, int64_t now_ms, int64_t heard_ms);
/* After cw_continuity_on_opened of the only connection: there was none since the list was current, longer than
   CW_CONTINUITY_OLD_MS ago. */
void cw_continuity_on_unobserved(cw_continuity_t* c, int64_t now_ms, int64_t heard_ms);
/* A connection that was open is no longer. */
void cw_continuity_on_closed(cw_continuity_t* c);
/* A connection, which is still counted, has ended, and not by this host; not earlier than from_ms. heard_ms: when the
   last data that was read from it arrived at the earliest, 0: never. was_closed: by the server, not by a reset. */
void cw_continuity_on_end(cw_continuity_t* c, int64_t from_ms, int64_t now_ms, int64_t heard_ms, bool was_closed);
/* A connection could not be opened. */
void cw_continuity_on_refused(cw_continuity_t* c, int64_t now_ms);
/* Another host has reported that a connection of its own failed at at_ms. If that was as this host's connections ended,
   the server has ended, however soon it was reached again. */
void cw_continuity_on_report(cw_continuity_t* c, int64_t at_ms);
/* Data that arrived at heard_ms at the earliest was read from a connection that opened at opened_ms. Returns whether
   that ends the doubt. */
bool cw_continuity_on_data(cw_continuity_t* c, int64_t heard_ms, int64_t opened_ms);
/* The list of servers in use was current at confirmed_ms. since_ms: the source was not away from then on. Returns
   whether that ends the doubt. */
bool cw_continuity_on_list(cw_continuity_t* c, int64_t confirmed_ms, int64_t since_ms);
/* This host can't connect to the server, but another host has just connected to it. Returns whether that ends the
 * doubt. */
bool cw_continuity_on_path_broken(cw_continuity_t* c, int64_t now_ms);
/* Whether the process behind a connection that opened at opened_ms may be another one than the list describes. */
bool cw_continuity_is_conn_doubted(const cw_continuity_t* c, int64_t opened_ms);

#endif /* CHALKWAY_CONTINUITY_H */

/*-- IMPLEMENTATION -----------------------------------------------------------*/
#ifdef CHALKWAY_IMPL
#ifndef CHALKWAY_CONTINUITY_IMPL_INCLUDED
#define CHALKWAY_CONTINUITY_IMPL_INCLUDED

#include <assert.h>

/* A server that ends seldom accepts connections again within this time. */
#define _CW_CONTINUITY_START_MIN_MS 250
/* Two hosts see the end of a server within this time of each other. */
#define _CW_CONTINUITY_SAME_END_MS 250
/* A server that another host reaches so soon after this host's connections ended, while this host can't connect, has
   not ended: the network path has. */
#define _CW_CONTINUITY_PATH_MS 1000
/* Data that arrives earlier may have been in flight when the server ended. */
#define _CW_CONTINUITY_FLIGHT_MS 300

static bool _cw_continuity_end_doubt(cw_continuity_t* c, int64_t proven_ms) {
    c->is_doubted = c->was_refused = c->is_reported = false;
    c->proven_ms = proven_ms;
    return true;
}

/* While the server is doubted, the process behind each connection since the first end may be another one. */
static void _cw_continuity_begin_doubt(cw_continuity_t* c, int64_t from_ms, int64_t at_ms) {
    c->alive_ms = c->is_doubted && c->alive_ms < from_ms ? c->alive_ms : from_ms;
    c->is_doubted = true;
    c->ended_ms = at_ms;
    c->reached_ms = 0;
}

/* Whether a failure that another host has reported may be the end of this host's connections, the last of which ended
   at until_ms at the latest. */
static bool _cw_continuity_is_same_end(const cw_continuity_t* c, int64_t until_ms) {
    bool may_have_ended = c->was_closed || c->is_reported;
    return may_have_ended && c->report_ms && c->report_ms >= c->alive_ms - _CW_CONTINUITY_SAME_END_MS &&
           c->report_ms <= until_ms + _CW_CONTINUITY_SAME_END_MS;
}

bool cw_continuity_on_opened(cw_continuity_t* c, int64_t now_ms, int64_t heard_ms) {
    c->conns++;
    if (!c->is_doubted || c->reached_ms) {
        return false;
    }
    c->reached_ms = now_ms;
    bool has_run_on = heard_ms && !c->was_refused && now_ms - heard_ms < _CW_CONTINUITY_START_MIN_MS &&
                      !_cw_continuity_is_same_end(c, now_ms);
    c->run_on_ms = has_run_on ? now_ms : c->run_on_ms;
    return has_run_on && _cw_continuity_end_doubt(c, now_ms);
}

void cw_continuity_on_unobserved(cw_continuity_t* c, int64_t now_ms, int64_t heard_ms) {
    bool has_run_on = heard_ms && now_ms - heard_ms < _CW_CONTINUITY_START_MIN_MS;
    if (!c->is_doubted && !has_run_on) {
        _cw_continuity_begin_doubt(c, now_ms, now_ms);
        c->reached_ms = now_ms;
    }
}

void cw_continuity_on_closed(cw_continuity_t* c) {
    assert(c->conns);
    c->conns--;
}

void cw_continuity_on_end(cw_continuity_t* c, int64_t from_ms, int64_t now_ms, int64_t heard_ms, bool was_closed) {
    /* A busy server closes new connections at once, and one that was not heard since the server was reached may have
       led to an earlier process. While there are others, these tell whether the server has ended. */
    bool proves_end = heard_ms && heard_ms >= c->reached_ms;
    if (proves_end || c->conns == 1) {
        c->was_closed = was_closed || (c->is_doubted && c->was_closed);
        c->is_reported = false;
        _cw_continuity_begin_doubt(c, from_ms, now_ms);
    }
}

void cw_continuity_on_refused(cw_continuity_t* c, int64_t now_ms) {
    bool has_open_conn = c->conns && (!c->is_doubted || c->reached_ms);
    if (!has_open_conn) {
        c->was_refused = true;
        _cw_continuity_begin_doubt(c, now_ms, now_ms);
    }
}

void cw_continuity_on_report(cw_continuity_t* c, int64_t at_ms) {
    c->report_ms = at_ms > c->report_ms ? at_ms : c->report_ms;
    if (!c->is_doubted && c->run_on_ms && _cw_continuity_is_same_end(c, c->run_on_ms)) {
        _cw_continuity_begin_doubt(c, c->alive_ms, c->run_on_ms);
        c->reached_ms = c->run_on_ms;
        c->run_on_ms = 0;
        return;
    }
    bool is_known = at_ms <= c->proven_ms || at_ms <= c->reached_ms || (c->is_doubted && !c->is_reported);
    if (!c->conns && !is_known) {
        c->is_reported = true;
        _cw_continuity_begin_doubt(c, at_ms, at_ms);
    }
}

bool cw_continuity_on_data(cw_continuity_t* c, int64_t heard_ms, int64_t opened_ms) {
    bool has_run_on = c->is_doubted && opened_ms < c->alive_ms && heard_ms - c->ended_ms >= _CW_CONTINUITY_FLIGHT_MS;
    return has_run_on && _cw_continuity_end_doubt(c, heard_ms);
}

bool cw_continuity_on_list(cw_continuity_t* c, int64_t confirmed_ms, int64_t since_ms) {
    int64_t from_ms = c->reached_ms > since_ms ? c->reached_ms : since_ms;
    bool is_described = c->is_doubted && c->reached_ms && confirmed_ms >= from_ms + CW_CONTINUITY_PUBLISH_MS;
    return is_described && _cw_continuity_end_doubt(c, confirmed_ms);
}

bool cw_continuity_is_conn_doubted(const cw_continuity_t* c, int64_t opened_ms) {
    return c->is_doubted && opened_ms >= c->alive_ms;
}

bool cw_continuity_on_path_broken(cw_continuity_t* c, int64_t now_ms) {
    /* The time of a report is not exact: this host may have been suspended while it arrived. */
    bool has_seen_end = c->is_doubted && !c->is_reported;
    bool is_explained = has_seen_end && !c->was_refused && now_ms - c->ended_ms < _CW_CONTINUITY_PATH_MS;
    return is_explained && _cw_continuity_end_doubt(c, now_ms);
}

#endif /* CHALKWAY_CONTINUITY_IMPL_INCLUDED */
#endif /* CHALKWAY_IMPL */
