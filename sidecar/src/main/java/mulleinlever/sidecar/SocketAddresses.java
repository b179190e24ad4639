package mulleinlever.sidecar;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/**
 * Parses and formats socket addresses of the form {@code address:port}. Host names are refused: a
 * lookup would block the event loop, and there is no DNS.
 */
final class SocketAddresses {
    private SocketAddresses() {}

    /**
     * Returns the address as text: the same text for the same address, however it was written when
     * parsed.
     */
    static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /**
     * Returns the address that the text names, an IPv6 address with or without brackets; null if
     * the text is not an IP address and a port.
     */
    static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        String host = colon < 0 ? "" : text.substring(0, colon).replaceAll("^\\[(.*)]$", "$1");
        String port = text.substring(colon + 1);
        if (!host.matches("\\d{1,3}(\\.\\d{1,3}){3}|[0-9a-fA-F:]*:[0-9a-fA-F:.]*")
                || !port.matches("\\d{1,5}")
                || Integer.parseInt(port) > 65_535) {
            return null;
        }
        try {
            return new InetSocketAddress(InetAddress.getByName(host), Integer.parseInt(port));
        } catch (UnknownHostException e) {
            return null;
        }
    }
}
